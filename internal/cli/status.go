package cli

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"eelgrasswharf.example/eelgrasswharf/internal/operator"
)

var errNoReply = errors.New("no control host answered")

func newStatus() *cobra.Command {
	var asJSON bool
	o := &operatorFlags{}
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Show the state of each control host",
		Long: `Queries every control host for its own view: the state of each replicated log, the
version it knows, the number of targets, the evacuated failure domains, and the
subscribers on which that version is not yet in force. It does not wait for a quorum.

The last lines name the services with overloaded targets, by the reports of all control
hosts that answer: since when, how many targets, their loads, and the openings that they
have refused since. The state is unknown of targets whose agents do not report it, or
report it to a control host that does not answer.

Exit status: 0 when at least one control host replied.`,
		Example: "  eelgrasswharf status " + operatorExample,
		Args:    noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return o.call(cmd, func(c *operator.Client) error {
				return reportStatus(cmd.OutOrStdout(), c.Status(cmd.Context()), asJSON)
			})
		},
	}
	jsonFlag(cmd, &asJSON)
	o.add(cmd)
	return cmd
}

// hostReport is the JSON form of one host's reply.
type hostReport struct {
	Address string           `json:"address"`
	Status  *operator.Status `json:"status,omitempty"`
	Error   string           `json:"error,omitempty"`
}

func reportStatus(w io.Writer, hosts []operator.HostStatus, asJSON bool) error {
	replied := 0
	var reports []hostReport
	for _, h := range hosts {
		report := hostReport{Address: h.Address, Status: h.Status}
		if h.Err != nil {
			report.Error = h.Err.Error()
		} else {
			replied++
		}
		reports = append(reports, report)
	}
	if asJSON {
		if err := writeJSON(w, reports); err != nil {
			return err
		}
	} else {
		for _, r := range reports {
			writeHost(w, r)
		}
		operator.WriteOverloads(w, operator.MergeCapacity(hosts), time.Now())
	}
	if replied == 0 {
		return errNoReply
	}
	return nil
}

func writeHost(w io.Writer, r hostReport) {
	if r.Status == nil {
		fmt.Fprintf(w, "%s: no answer: %s\n", r.Address, r.Error)
		return
	}
	s := r.Status
	fmt.Fprintf(w, "%s: %s, version %d by patch %q, %d targets, %d subscribers\n",
		r.Address, s.Host, s.Version, s.VersionPatch, s.Targets, len(s.Subscribers))
	for _, g := range s.Groups {
		fmt.Fprintf(w, "  group %s: %s, leader %q, term %d, commit %d, applied %d\n",
			g.Group, g.State, g.Leader, g.Term, g.Commit, g.Applied)
		if g.Grants != nil {
			writeGrants(w, g.Grants)
		}
		for _, m := range g.Members {
			fmt.Fprintf(w, "    %s %s%s\n", m.Name, m.Address, learnerMark(m.Learner))
		}
	}
	writeEvacuations(w, s.Evacuations)
	if len(s.LaggingSubscribers) > 0 {
		fmt.Fprintf(w, "  not yet in force on: %s\n", strings.Join(s.LaggingSubscribers, ", "))
	}
}

func learnerMark(learner bool) string {
	if learner {
		return " (learner)"
	}
	return ""
}
