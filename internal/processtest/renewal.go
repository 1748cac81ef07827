package processtest

import "eelgrasswharf.example/eelgrasswharf/internal/keys"

const (
	keysRenewedMessage   = "keys reloaded"
	callerRenewedMessage = "caller certificate reloaded"
)

// KeyDir returns the directory with the keys of all processes.
func (c *Cluster) KeyDir() string { return c.keyDir }

// ReissueCertificates issues every certificate again, with the same names.
func (c *Cluster) ReissueCertificates() error {
	for _, id := range c.issued {
		if _, err := keys.Issue(c.keyDir, id.role, id.name, id.service, nil, keyValidity); err != nil {
			return err
		}
	}
	return nil
}

// RenewKeys changes the keys and waits until the processes use the new ones.
func (c *Cluster) RenewKeys(change func() error, processes ...*Process) {
	c.t.Helper()
	c.changeKeys(keysRenewedMessage, change, processes)
}

// RenewCallerCertificate changes the certificate that agents present to callers
// and waits until the agents use the new one.
func (c *Cluster) RenewCallerCertificate(change func() error, agents ...*Process) {
	c.t.Helper()
	c.changeKeys(callerRenewedMessage, change, agents)
}

func (c *Cluster) changeKeys(message string, change func() error, processes []*Process) {
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
