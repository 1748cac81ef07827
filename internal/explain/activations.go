package explain

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Messages and the role that tell when a revision of the route table was accepted and when
// a process uses it.
const (
	messageAccepted = "configuration accepted"
	messageApplied  = "routes applied"
	messageStarted  = "start"
	roleEntry       = "entry"
)

// Activation is how a revision of the route table came into use on all entry hosts.
type Activation struct {
	Revision uint64
	// AcceptedAt is the time of the first acknowledgement, by AcceptedBy.
	AcceptedAt time.Time
	AcceptedBy string
	// Hosts is the number of entry hosts that ran at that time and were not restarted before
	// they used this or a later revision.
	Hosts int
	// LastHost was the last of them, Lag after the acknowledgement. The time is negative if
	// it used the revision before.
	LastHost string
	Lag      time.Duration
	// Missing are those that did not use it by the end of their logs.
	Missing []string
}

// Activations collects from the logs of control and entry hosts when each revision was
// accepted and used. The zero value is ready for use.
type Activations struct {
	accepted map[uint64]acceptance
	hosts    map[string]*hostRevisions
}

type acceptance struct {
	at   time.Time
	host string
}

// hostRevisions is what the logs of one entry host tell.
type hostRevisions struct {
	starts []time.Time
	used   []usedRevision
}

type usedRevision struct {
	at       time.Time
	revision uint64
}

// Read adds a log. Lines of other programs are skipped and counted.
func (a *Activations) Read(name string, r io.Reader, sum *Summary) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		sum.Read++
		line, ok := parse(scanner.Bytes())
		if !ok {
			sum.Skipped++
			continue
		}
		if a.add(&line) {
			sum.Matched++
		}
	}
	if err := scanner.Err(); err != nil {
		return errors.Wrap(err, name)
	}
	return nil
}

// add adds a line and reports whether it is of use.
func (a *Activations) add(l *Line) bool {
	if l.Message == messageAccepted {
		return a.addAccepted(l)
	}
	if l.Role != roleEntry {
		return false
	}
	switch l.Message {
	case messageStarted:
		h := a.host(l.Host)
		h.starts = append(h.starts, l.Timestamp)
		return true
	case messageApplied:
		h := a.host(l.Host)
		h.used = append(h.used, usedRevision{l.Timestamp, number(l.Fields["revision"])})
		return true
	}
	return false
}

func (a *Activations) addAccepted(l *Line) bool {
	if a.accepted == nil {
		a.accepted = map[uint64]acceptance{}
	}
	revision := number(l.Fields["active_revision"])
	if first, known := a.accepted[revision]; !known || l.Timestamp.Before(first.at) {
		a.accepted[revision] = acceptance{l.Timestamp, l.Host}
	}
	return true
}

func (a *Activations) host(name string) *hostRevisions {
	if a.hosts == nil {
		a.hosts = map[string]*hostRevisions{}
	}
	if a.hosts[name] == nil {
		a.hosts[name] = &hostRevisions{}
	}
	return a.hosts[name]
}

// number returns the value of a numeric field, 0 if it is none.
func number(value any) uint64 {
	text, _ := value.(json.Number)
	n, _ := text.Int64()
	return uint64(max(n, 0))
}

// List returns the activations in the order of revisions.
func (a *Activations) List() []Activation {
	var all []Activation
	for _, revision := range slices.Sorted(maps.Keys(a.accepted)) {
		all = append(all, a.activation(revision, a.accepted[revision]))
	}
	return all
}

func (a *Activations) activation(revision uint64, first acceptance) Activation {
	out := Activation{Revision: revision, AcceptedAt: first.at, AcceptedBy: first.host}
	for _, name := range slices.Sorted(maps.Keys(a.hosts)) {
		at, uses, counts := a.hosts[name].usedFrom(revision, first.at)
		if !counts {
			continue
		}
		out.Hosts++
		if !uses {
			out.Missing = append(out.Missing, name)
			continue
		}
		if lag := at.Sub(first.at); out.LastHost == "" || lag > out.Lag {
			out.LastHost, out.Lag = name, lag
		}
	}
	return out
}

// usedFrom returns from when the host used a revision or a later one. counts is false if the
// host did not run at the acceptance, or was restarted before it used the revision.
func (h *hostRevisions) usedFrom(revision uint64, accepted time.Time) (at time.Time, uses, counts bool) {
	slices.SortFunc(h.starts, time.Time.Compare)
	slices.SortStableFunc(h.used, func(a, b usedRevision) int { return a.at.Compare(b.at) })
	if len(h.starts) > 0 && h.starts[0].After(accepted) {
		return time.Time{}, false, false
	}
	for _, u := range h.used {
		if u.revision >= revision {
			at, uses = u.at, true
			break
		}
	}
	restarted := slices.ContainsFunc(h.starts, func(start time.Time) bool {
		return start.After(accepted) && (!uses || start.Before(at))
	})
	return at, uses, !restarted
}

// WriteActivations writes a line for each activation and one for the longest.
func WriteActivations(w io.Writer, all []Activation) error {
	for _, a := range all {
		if _, err := fmt.Fprintf(w, "%s  revision %-8d accepted by %-24s %3d hosts  last after %8.3fs  %s%s\n",
			a.AcceptedAt.Format("15:04:05.000"), a.Revision, a.AcceptedBy, a.Hosts, a.Lag.Seconds(), a.LastHost, a.missing()); err != nil {
			return errors.Wrap(err, "write")
		}
	}
	if len(all) == 0 {
		return nil
	}
	longest := slices.MaxFunc(all, func(a, b Activation) int { return cmp.Compare(a.Lag, b.Lag) })
	if _, err := fmt.Fprintf(w, "longest: %.3fs, revision %d at %s\n", longest.Lag.Seconds(), longest.Revision, longest.LastHost); err != nil {
		return errors.Wrap(err, "write")
	}
	return nil
}

func (a *Activation) missing() string {
	if len(a.Missing) == 0 {
		return ""
	}
	return "  not used by " + strings.Join(a.Missing, ", ")
}
