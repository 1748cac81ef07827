package reason

import (
	"fmt"
	"strings"
)

// sections holds the heading and introduction of each kind on the operators' page.
var sections = []struct {
	kind         Kind
	title, intro string
}{
	{KindNotRun, "Not run", "Told to callers in `Request-Reason` with `Request-Outcome: not-run`; counter `requests_refused`. A request with an idempotency key that is refused before the control hosts were asked about the key is told `unknown` with the same reason: an earlier attempt may have run."},
	{KindUnknown, "Unknown", "Told to callers in `Request-Reason` with `Request-Outcome: unknown`; counter `requests_unknown`."},
	{KindRetry, "Retries", "Why an attempt at the backend server was repeated, or was not; counter `retries`."},
	{KindFrame, "Frames", "Why an agent refused a frame; counter `frames_refused`."},
	{KindFlow, "New flows", "Why an agent handed a new flow on or refused it; counter `flows_handed_on`."},
}

// Markdown returns the operators' page of all reasons.
func Markdown() string {
	var b strings.Builder
	b.WriteString("# Reasons\n\n")
	b.WriteString("Generated from package `reason`; `go generate ./reason` writes it anew.\n")
	b.WriteString("Each reason is the tag `reason` of its counter.\n")
	for _, section := range sections {
		fmt.Fprintf(&b, "\n## %s\n\n%s\n\n| Reason | Meaning |\n|---|---|\n", section.title, section.intro)
		for _, info := range Table() {
			if info.Kind == section.kind {
				fmt.Fprintf(&b, "| `%s` | %s |\n", info.Name, info.Text)
			}
		}
	}
	b.WriteString("\n## Openings of packet flows\n\nWhat an entry host did with an opening for want of room; counters `flow_entry_openings_without_room` and `flow_entry_packets`.\n\n| Reason | Meaning |\n|---|---|\n")
	for _, o := range openings {
		fmt.Fprintf(&b, "| `%s` | %s |\n", o.Name, o.Text)
	}
	return b.String()
}
