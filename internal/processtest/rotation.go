package processtest

import "eelgrasswharf.example/eelgrasswharf/internal/keys"

const (
	keysRenewed   = "keys renewed"
	callerRenewed = "caller certificate renewed"
)

// KeyDir returns the folder with the keys of the deployment, from which all
// its processes read.
func (c *Cluster) KeyDir() string { return c.keyDir }

// ReissueCertificates issues every certificate anew, under the same names.
func (c *Cluster) ReissueCertificates() error {
	for _, id := range c.issued {
		if _, err := keys.Issue(c.keyDir, id.role, id.name, id.service, nil, keyValidity); err != nil {
			return err
		}
	}
	return nil
}

// RenewKeys changes the keys, and waits until all these processes use the new ones.
func (c *Cluster) RenewKeys(change func() error, processes ...*Process) {
	c.t.Helper()
	c.renew(keysRenewed, change, processes)
}

// RenewCallerCertificate is Renew of the certificate that agents show to callers.
func (c *Cluster) RenewCallerCertificate(change func() error, agents ...*Process) {
	c.t.Helper()
	c.renew(callerRenewed, change, agents)
}

func (c *Cluster) renew(message string, change func() error, processes []*Process) {
	c.t.Helper()
	before := make([]int, len(processes))
	for i, p := range processes {
		before[i] = p.LogCount(message)
	}
	c.must(change())
	for i, p := range processes {
		Eventually(c.t, p.Name+": "+message, func() bool { return p.LogCount(message) > before[i] })
	}
}
