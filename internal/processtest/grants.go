package processtest

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/api/grantpb"
	"eelgrasswharf.example/eelgrasswharf/grant"
	"eelgrasswharf.example/eelgrasswharf/internal/keys"
	"eelgrasswharf.example/eelgrasswharf/internal/link"
)

// callTimeout bounds one call of AskGrant.
const callTimeout = 5 * time.Second

// grantGroup is the name of the replicated log of grants.
const grantGroup = "grant"

// GrantGroup names a group of grants, numbered from 0.
func GrantGroup(index int) string {
	if index == 0 {
		return grantGroup
	}
	return fmt.Sprintf("%s-%d", grantGroup, index+1)
}

// GrantGroupLeader waits until one control host leads a group of grants and
// returns it.
func (c *Cluster) GrantGroupLeader(index int) *Control {
	c.t.Helper()
	return c.leaderOf(GrantGroup(index))
}

// WaitGrantLeadersBalanced waits until the groups of grants have a slot table and each is
// led by another control host, as far as there are as many.
func (c *Cluster) WaitGrantLeadersBalanced(groups int) {
	c.t.Helper()
	Eventually(c.t, "the leaders of the grants are spread", func() bool {
		led := 0
		for _, host := range c.Status() {
			mine, slots := 0, 0
			for _, group := range host.Groups {
				if group.Grants == nil {
					continue
				}
				slots += group.Grants.Slots
				if group.State == leads {
					mine++
				}
			}
			if slots != grant.Slots || mine < groups/len(c.controls) {
				return false
			}
			led += mine
		}
		return led == groups
	})
}

// RemoveGroupDir removes what a host, whose process has ended, keeps of a group of
// grants.
func (h *Control) RemoveGroupDir(index int) {
	h.cluster.t.Helper()
	h.cluster.must(os.RemoveAll(filepath.Join(h.settings.Replica.DataFolder, GrantGroup(index))))
}

// SetGrantGroups changes the setting for the next launch.
func (h *Control) SetGrantGroups(groups int) { h.settings.Replica.GrantGroups = uint32(groups) }

// Refused counts the requests of peers that the host refused for a reason.
func (h *Control) Refused(reason string) float64 {
	h.cluster.t.Helper()
	return h.MetricValue("control_refusals", "reason", reason)
}

// SendGrantCommand sends a command to this host in the name of an agent of a service.
func (h *Control) SendGrantCommand(service string, command *grantpb.Command) (*grantpb.Result, error) {
	c := h.cluster
	c.t.Helper()
	creds, err := keys.Load(c.issue(keys.RoleAgent, "asker", service))
	c.must(err)
	client := link.NewClient([]string{h.Link.String()}, creds, link.ClientOptions{})
	defer client.Close()
	var res *controlpb.Response
	Eventually(c.t, h.name+" answers", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		res, err = client.Call(ctx, &controlpb.Request{Body: &controlpb.Request_Grant{Grant: command}})
		return err == nil
	})
	if err := link.ResponseError(res); err != nil {
		return nil, err
	}
	return res.GetGrant(), nil
}

// GrantLeader waits until one control host leads the grants and returns it.
func (c *Cluster) GrantLeader() *Control {
	c.t.Helper()
	return c.leaderOf(grantGroup)
}
