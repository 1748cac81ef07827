package cli

import (
	"encoding/json"
	"io"

	"github.com/spf13/cobra"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
)

type rawJSON = json.RawMessage

// finding is the JSON form of configpb.Finding.
type finding struct {
	Place string `json:"place"`
	Text  string `json:"text"`
}

func findingsOf(findings []*configpb.Finding) []finding {
	out := []finding{}
	for _, f := range findings {
		out = append(out, finding{Place: f.GetPlace(), Text: f.GetText()})
	}
	return out
}

func jsonFlag(cmd *cobra.Command, target *bool) {
	cmd.Flags().BoolVar(target, "json", false, "write JSON")
}

func writeJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}
