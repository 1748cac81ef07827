package processtest

// grantGroup is the name of the replicated log of grants.
const grantGroup = "grant"

// GrantLeader waits until one control host leads the grants and returns it.
func (c *Cluster) GrantLeader() *Control {
	c.t.Helper()
	return c.leaderOf(grantGroup)
}
