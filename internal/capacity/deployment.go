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
	dataFolder  = "data"
	stateLeads  = "leads"
)

// errRefused tells that the control hosts refused a patch.
var errRefused = errors.New("patch refused")

// control is a control host.
type control struct {
	*process
	settings *settingspb.ControlSettings
	// link is where peers and subscribers dial, operator where operators call.
	link, operator string
}

// deployment is a group of control hosts and the keys of all roles.
type deployment struct {
	lab      *lab
	controls []*control
	client   *operator.Client
	// version is the newest one made here, by so many patches.
	version uint64
	patches int
}

// deploy starts control hosts and waits until one leads.
func (l *lab) deploy(ctx context.Context, hosts int) (*deployment, error) {
	return l.deployGroups(ctx, hosts, 1)
}

// deployGroups is deploy with so many groups of grants.
func (l *lab) deployGroups(ctx context.Context, hosts, groups int) (*deployment, error) {
	d, err := l.prepare(hosts)
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
	return d, await(ctx, "a leader", func() bool { return d.leader(ctx) != nil })
}

// prepare makes keys and settings of a group that founds itself.
func (l *lab) prepare(hosts int) (*deployment, error) {
	d := &deployment{lab: l}
	if err := keys.InitAuthority(d.keysFolder()); err != nil {
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
	l.onClose(d.client.Close)
	return d, nil
}

func (d *deployment) keysFolder() string { return filepath.Join(d.lab.folder, "keys") }

func (d *deployment) newControl(name string) (*control, error) {
	section, err := d.keySection(keys.RoleControl, name, "")
	if err != nil {
		return nil, err
	}
	link, err := freeAddress()
	if err != nil {
		return nil, err
	}
	api, err := freeAddress()
	if err != nil {
		return nil, err
	}
	s := &settingspb.ControlSettings{
		Host: &settingspb.Host{Name: name, FailureDomain: name},
		Keys: section,
		Replica: &settingspb.Replica{
			DataFolder: filepath.Join(d.lab.folder, dataFolder, name), Listen: link, OperatorListen: api,
		},
	}
	return &control{settings: s, link: link, operator: api}, nil
}

func (d *deployment) start(ctx context.Context, c *control) error {
	p, err := d.lab.launch(ctx, "control", c.settings.GetHost().GetName(), c.settings)
	c.process = p
	return err
}

// freeAddress returns an address that was free a moment ago, for UDP and TCP:
// control hosts have to know each other's addresses before they start, and keep
// them over a restart. It lies outside of the ports that the system gives to
// those that ask for any.
func freeAddress() (string, error) {
	const first, ports, tries = 10_000, 20_000, 100
	var last error
	for range tries {
		address := net.JoinHostPort(loopback, strconv.Itoa(first+rand.IntN(ports)))
		if last = probe(address); last == nil {
			return address, nil
		}
	}
	return "", errors.Wrap(last, "free port")
}

func probe(address string) error {
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
	files, err := keys.Issue(d.keysFolder(), role, name, service, nil, keyValidity)
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

// leader returns the host that leads the configuration group, or nil.
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

// put makes the next version of these services, however often it has to be
// asked for: a patch never applies twice.
func (d *deployment) put(ctx context.Context, services ...*configpb.Service) error {
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
		return errors.Wrapf(errRefused, "%v", outcome)
	}
	d.version = outcome.GetVersion()
	return nil
}

// change makes a version that differs in one service.
func (d *deployment) change(ctx context.Context) error {
	s := service(0, 1)
	s.Slots = slots + uint32(d.patches%2)
	return d.put(ctx, s)
}

// service returns a service with so many public addresses.
func service(number, addresses int) *configpb.Service {
	s := &configpb.Service{Name: serviceName(number), Slots: slots}
	for i := range addresses {
		s.Addresses = append(s.Addresses, fmt.Sprintf("198.18.%d.%d:%d", number>>8, number&0xff, 443+i))
	}
	return s
}

func serviceName(number int) string { return fmt.Sprintf("service-%04d", number) }

// servicesOf returns services with so many addresses in total, spread as
// evenly as numbers allow.
func servicesOf(services, addresses int) []*configpb.Service {
	list := make([]*configpb.Service, services)
	for i := range list {
		list[i] = service(i, addresses*(i+1)/services-addresses*i/services)
	}
	return list
}
