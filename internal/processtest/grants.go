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

// grantCallTimeout limits one attempt of SendGrantCommand.
const grantCallTimeout = 5 * time.Second

// grantGroup is the name of the first grant group.
const grantGroup = "grant"

// GrantGroup returns the name of a grant group. Indexes start at 0.
func GrantGroup(index int) string {
	if index == 0 {
		return grantGroup
	}
	return fmt.Sprintf("%s-%d", grantGroup, index+1)
}

// GrantGroupLeader waits until a control host leads a grant group and returns it.
func (c *Cluster) GrantGroupLeader(index int) *Control {
	c.t.Helper()
	return c.waitLeader(GrantGroup(index))
}

// WaitGrantLeadersBalanced waits until the grant groups have a slot table and
// each control host leads its share of them.
func (c *Cluster) WaitGrantLeadersBalanced(groups int) {
	c.t.Helper()
	Eventually(c.t, "the leaders of the grant groups are balanced", func() bool {
		led := 0
		for _, host := range c.Status() {
			hostLed, slots := 0, 0
			for _, group := range host.Groups {
				if group.Grants == nil {
					continue
				}
				slots += group.Grants.Slots
				if group.State == stateLeader {
					hostLed++
				}
			}
			if slots != grant.Slots || hostLed < groups/len(c.controls) {
				return false
			}
			led += hostLed
		}
		return led == groups
	})
}

// RemoveGroupDir removes the data of a grant group from a stopped host.
func (h *Control) RemoveGroupDir(index int) {
	h.cluster.t.Helper()
	h.cluster.must(os.RemoveAll(filepath.Join(h.settings.Replica.DataFolder, GrantGroup(index))))
}

// SetGrantGroups sets the number of grant groups for the next launch.
func (h *Control) SetGrantGroups(groups int) { h.settings.Replica.GrantGroups = uint32(groups) }

// Refused returns the number of requests that the host refused for a reason.
func (h *Control) Refused(reason string) float64 {
	h.cluster.t.Helper()
	return h.MetricValue("control_refusals", "reason", reason)
}

// SendGrantCommand sends a command to this host as an agent of the service.
func (h *Control) SendGrantCommand(service string, command *grantpb.Command) (*grantpb.Result, error) {
	c := h.cluster
	c.t.Helper()
	creds, err := keys.Load(c.issue(keys.RoleAgent, "asker", service))
	c.must(err)
	client := link.NewClient([]string{h.Link.String()}, creds, link.ClientOptions{})
	defer client.Close()
	var res *controlpb.Response
	Eventually(c.t, h.name+" answers", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), grantCallTimeout)
		defer cancel()
		res, err = client.Call(ctx, &controlpb.Request{Body: &controlpb.Request_Grant{Grant: command}})
		return err == nil
	})
	if err := link.ResponseError(res); err != nil {
		return nil, err
	}
	return res.GetGrant(), nil
}

// GrantLeader waits until a control host leads the first grant group and returns
// it.
func (c *Cluster) GrantLeader() *Control {
	c.t.Helper()
	return c.waitLeader(grantGroup)
}
