package capacity

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"path/filepath"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
	"eelgrasswharf.example/eelgrasswharf/api/settingspb"
	"eelgrasswharf.example/eelgrasswharf/internal/keys"
	"eelgrasswharf.example/eelgrasswharf/internal/operator"
)

const (
	loopback    = "127.0.0.1"
	freePort    = loopback + ":0"
	loopbackNet = "127.0.0.0/8"
	keyValidity = 24 * time.Hour
	slots       = 4
	dataDirName = "data"
	stateLeads  = "leads"
)

// errPatchRefused reports a patch that was refused.
var errPatchRefused = errors.New("patch refused")

// control is a control host.
type control struct {
	*process
	settings *settingspb.ControlSettings
	// link is the address for peers and subscribers, operator that of the
	// operators' API.
	link, operator string
}

// deployment holds control hosts and the keys of all roles.
type deployment struct {
	testbed  *testbed
	controls []*control
	client   *operator.Client
	// version is the latest one created here, patches the number of patches.
	version uint64
	patches int
}

// deploy starts control hosts and waits for a leader.
func (tb *testbed) deploy(ctx context.Context, hosts int) (*deployment, error) {
	return tb.deployGroups(ctx, hosts, 1)
}

// deployGroups is deploy with the given number of grant groups.
func (tb *testbed) deployGroups(ctx context.Context, hosts, groups int) (*deployment, error) {
	d, err := tb.prepare(hosts)
	if err != nil {
		return nil, err
	}
	for _, c := range d.controls {
		c.settings.Replica.GrantGroups = uint32(groups)
	}
	for _, c := range d.controls {
		if err := d.start(ctx, c); err != nil {
			return nil, err
		}
	}
	return d, await(ctx, "leader", func() bool { return d.leader(ctx) != nil })
}

// prepare creates the keys and the settings of initial control hosts.
func (tb *testbed) prepare(hosts int) (*deployment, error) {
	d := &deployment{testbed: tb}
	if err := keys.InitAuthority(d.keysDir()); err != nil {
		return nil, err
	}
	var voters, operators []string
	for i := range hosts {
		c, err := d.newControl(fmt.Sprintf("control-%d", i+1))
		if err != nil {
			return nil, err
		}
		d.controls = append(d.controls, c)
		voters = append(voters, c.settings.GetHost().GetName()+"="+c.link)
		operators = append(operators, c.operator)
	}
	if hosts > 1 {
		for _, c := range d.controls {
			c.settings.Replica.InitialVoters = voters
		}
	}
	creds, err := d.credentials(keys.RoleOperator, "operator", "")
	if err != nil {
		return nil, err
	}
	d.client = operator.NewClient(operators, creds)
	tb.onClose(d.client.Close)
	return d, nil
}

func (d *deployment) keysDir() string { return filepath.Join(d.testbed.dir, "keys") }

func (d *deployment) newControl(name string) (*control, error) {
	section, err := d.keySection(keys.RoleControl, name, "")
	if err != nil {
		return nil, err
	}
	link, err := freeAddress()
	if err != nil {
		return nil, err
	}
	operatorAddr, err := freeAddress()
	if err != nil {
		return nil, err
	}
	s := &settingspb.ControlSettings{
		Host: &settingspb.Host{Name: name, FailureDomain: name},
		Keys: section,
		Replica: &settingspb.Replica{
			DataFolder: filepath.Join(d.testbed.dir, dataDirName, name), Listen: link, OperatorListen: operatorAddr,
		},
	}
	return &control{settings: s, link: link, operator: operatorAddr}, nil
}

func (d *deployment) start(ctx context.Context, c *control) error {
	p, err := d.testbed.launch(ctx, "control", c.settings.GetHost().GetName(), c.settings)
	c.process = p
	return err
}

// freeAddress returns an address that is free for UDP and TCP. Control hosts need
// their addresses before they start and keep them over a restart. The ports are
// outside the ephemeral range, so that no other socket gets them.
func freeAddress() (string, error) {
	const first, ports, tries = 10_000, 20_000, 100
	var lastErr error
	for range tries {
		address := net.JoinHostPort(loopback, strconv.Itoa(first+rand.IntN(ports)))
		if lastErr = checkFree(address); lastErr == nil {
			return address, nil
		}
	}
	return "", errors.Wrap(lastErr, "find free port")
}

func checkFree(address string) error {
	conn, err := net.ListenPacket("udp4", address)
	if err != nil {
		return err
	}
	defer conn.Close()
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	return listener.Close()
}

func (d *deployment) keySection(role keys.Role, name, service string) (*settingspb.Keys, error) {
	files, err := keys.Issue(d.keysDir(), role, name, service, nil, keyValidity)
	if err != nil {
		return nil, err
	}
	return files.Settings(), nil
}

func (d *deployment) credentials(role keys.Role, name, service string) (*keys.Credentials, error) {
	section, err := d.keySection(role, name, service)
	if err != nil {
		return nil, err
	}
	return keys.FromSettings(section)
}

// links returns the link addresses of all control hosts.
func (d *deployment) links() []string {
	all := make([]string, len(d.controls))
	for i, c := range d.controls {
		all[i] = c.link
	}
	return all
}

// leader returns the leader of the configuration group, or nil.
func (d *deployment) leader(ctx context.Context) *control {
	for i, host := range d.client.Status(ctx) {
		if host.Err != nil {
			continue
		}
		for _, g := range host.Status.Groups {
			if g.Group == "config" && g.State == stateLeads {
				return d.controls[i]
			}
		}
	}
	return nil
}

// putServices creates a version with these services. It repeats the patch until
// its outcome is known; a patch never applies twice.
func (d *deployment) putServices(ctx context.Context, services ...*configpb.Service) error {
	d.patches++
	patch := &configpb.Patch{Id: fmt.Sprintf("patch-%d", d.patches), BaseVersion: d.version}
	for _, s := range services {
		patch.Operations = append(patch.Operations, &configpb.Operation{
			Body: &configpb.Operation_PutService{PutService: s},
		})
	}
	var outcome *configpb.Outcome
	err := await(ctx, "outcome of a patch", func() bool {
		var err error
		outcome, err = d.client.Submit(ctx, patch)
		return err == nil
	})
	if err != nil {
		return err
	}
	if outcome.GetVerdict() != configpb.Verdict_VERDICT_ACCEPTED {
		return errors.Wrapf(errPatchRefused, "%v", outcome)
	}
	d.version = outcome.GetVersion()
	return nil
}

// changeService creates a version that changes one service.
func (d *deployment) changeService(ctx context.Context) error {
	s := newService(0, 1)
	s.Slots = slots + uint32(d.patches%2)
	return d.putServices(ctx, s)
}

// newService returns a service with the given number of public addresses.
func newService(number, addresses int) *configpb.Service {
	s := &configpb.Service{Name: serviceName(number), Slots: slots}
	for i := range addresses {
		s.Addresses = append(s.Addresses, fmt.Sprintf("198.18.%d.%d:%d", number>>8, number&0xff, 443+i))
	}
	return s
}

func serviceName(number int) string { return fmt.Sprintf("service-%04d", number) }

// newServices returns services that share the addresses as evenly as possible.
func newServices(services, addresses int) []*configpb.Service {
	list := make([]*configpb.Service, services)
	for i := range list {
		list[i] = newService(i, addresses*(i+1)/services-addresses*i/services)
	}
	return list
}
