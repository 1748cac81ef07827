package reason_test

import (
	"os"
	"regexp"
	"testing"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/reason"
)

func TestTableIsCompleteAndUnique(t *testing.T) {
	is := is.New(t)
	name := regexp.MustCompile(`^[a-z]+(-[a-z]+)*$`)
	type key struct {
		kind reason.Kind
		name string
	}
	seen := map[key]bool{}
	for _, info := range reason.Table() {
		is.True(name.MatchString(info.Name))         // lower-case words
		is.True(info.Text != "")                     // has an explanation
		is.True(info.Kind >= reason.KindNotRun)      // has a kind
		is.True(info.Kind <= reason.KindFlow)        // the kind is known
		is.True(!seen[key{info.Kind, info.Name}])    // unique within the kind
		is.Equal(info.Code.String(), info.Name)      // the code resolves to the name
		is.True(info.Kind.String() != "unspecified") // kind has a name
		seen[key{info.Kind, info.Name}] = true
	}
	is.Equal(reason.None.String(), "")
	is.Equal(reason.Code(255).String(), "")
}

func TestPageIsCurrent(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../docs/REASONS.md")
	is.NoErr(err)
	is.Equal(string(page), reason.Markdown()) // else: go generate ./reason
}
