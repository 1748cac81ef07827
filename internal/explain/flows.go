package explain

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Messages of decisions on an opening, see internal/flowd.
const (
	messagePlaced    = "flow placed"
	messageForwarded = "flow forwarded"
	messageQueued    = "flow queued"
	messageReturned  = "queued flow returned"
	messageRefused   = "waiting opening refused"
	messageReset     = "flow reset"
)

// actionDeliver is the action of an agent that gives a packet to its target.
const actionDeliver = "deliver"

// FlowHistory is what happened to the opening of a flow that waited, was handed on or was
// refused.
type FlowHistory struct {
	// Flow has both ends.
	Flow string
	// Steps tells the decisions in order of time.
	Steps []string
}

// Flows returns the histories of the flows of these lines, which are sorted by time, in the
// order of their first lines. Flows that were placed and delivered at once have none.
func Flows(lines []Line) []FlowHistory {
	byFlow := map[string]*flowSteps{}
	var order []*flowSteps
	for i := range lines {
		flow := lines[i].field("flow")
		if flow == "" {
			continue
		}
		s := byFlow[flow]
		if s == nil {
			s = &flowSteps{flow: flow, queuedAt: map[string]time.Time{}, began: lines[i].Timestamp}
			byFlow[flow] = s
			order = append(order, s)
		}
		s.add(&lines[i])
	}
	var out []FlowHistory
	for _, s := range order {
		if s.notable {
			out = append(out, s.history())
		}
	}
	return out
}

func (l *Line) field(name string) string {
	text, _ := l.Fields[name].(string)
	return text
}

// flowSteps collects the history of one flow.
type flowSteps struct {
	flow  string
	began time.Time
	steps []string
	// queuedAt is when each host queued the opening, without those that have decided on it.
	queuedAt map[string]time.Time
	notable  bool
}

func (s *flowSteps) add(l *Line) {
	switch l.Message {
	case messagePlaced:
		if l.field("action") == actionDeliver {
			s.append(l, "%sdelivered to its target", s.waited(l))
			return
		}
		s.append(l, "placed at %s (%s)", l.field("to"), l.field("reason"))
	case messageForwarded:
		s.notable = true
		s.append(l, "%shanded on to %s (%s)", s.waited(l), l.field("to"), l.field("reason"))
	case messageQueued:
		s.notable = true
		s.queuedAt[l.Host] = l.Timestamp
		s.append(l, "queued at load_permille %v", l.Fields["load_permille"])
	case messageReturned, messageRefused:
		s.notable = true
		s.append(l, "%sreturned to %s (%s)", s.waited(l), l.field("to"), l.field("reason"))
	case messageReset:
		s.notable = true
		s.append(l, "refused or ended by a reset (%s)", l.field("reason"))
	}
}

// waited returns how long the opening was queued at the host of a line.
func (s *flowSteps) waited(l *Line) string {
	since, queued := s.queuedAt[l.Host]
	if !queued {
		return ""
	}
	delete(s.queuedAt, l.Host)
	return fmt.Sprintf("after %.3f s in its queue ", l.Timestamp.Sub(since).Seconds())
}

func (s *flowSteps) append(l *Line, format string, args ...any) {
	s.steps = append(s.steps, fmt.Sprintf("+%.3f s %s: ", l.Timestamp.Sub(s.began).Seconds(), l.Host)+fmt.Sprintf(format, args...))
}

func (s *flowSteps) history() FlowHistory {
	hosts := make([]string, 0, len(s.queuedAt))
	for host := range s.queuedAt {
		hosts = append(hosts, host)
	}
	slices.Sort(hosts)
	for _, host := range hosts {
		s.steps = append(s.steps, host+": no line tells what became of the queued opening")
	}
	return FlowHistory{Flow: s.flow, Steps: s.steps}
}

// WriteFlows writes the histories of flows.
func WriteFlows(w io.Writer, flows []FlowHistory) error {
	for _, f := range flows {
		if _, err := fmt.Fprintf(w, "\nflow %s\n  %s\n", f.Flow, strings.Join(f.Steps, "\n  ")); err != nil {
			return errors.Wrap(err, "write")
		}
	}
	return nil
}
