package agentd

import (
	"context"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
	"eelgrasswharf.example/eelgrasswharf/api/settingspb"
	"eelgrasswharf.example/eelgrasswharf/connid"
	"eelgrasswharf.example/eelgrasswharf/internal/controld"
	"eelgrasswharf.example/eelgrasswharf/internal/keys"
	"eelgrasswharf.example/eelgrasswharf/internal/loopback"
	"eelgrasswharf.example/eelgrasswharf/internal/operator"
	"eelgrasswharf.example/eelgrasswharf/internal/unittest"
)

// deployment is a control host with one service, and a key directory.
type deployment struct {
	t       *testing.T
	keys    *unittest.KeyDir
	control *controld.Daemon
}

func newDeployment(t *testing.T) *deployment {
	t.Helper()
	d := &deployment{t: t, keys: unittest.NewKeyDir(t)}
	address := freeAddress(t)
	control, err := controld.New(&settingspb.ControlSettings{
		Host: &settingspb.Host{Name: "c1", FailureDomain: "bodija"},
		Keys: d.keys.Issue(keys.RoleControl, "c1", "").Settings(),
		Replica: &settingspb.Replica{
			DataFolder: t.TempDir(), Listen: address, OperatorListen: "127.0.0.1:0",
			InitialVoters: []string{"c1=" + address}, TickMs: 20,
		},
	}, zap.NewNop(), tally.NoopScope)
	must(t, err)
	d.control = control
	d.run(control.Run)
	<-control.Ready()
	d.putService()
	return d
}

// run runs a daemon until the test ends.
func (d *deployment) run(run func(context.Context) error) context.CancelFunc {
	ctx, cancel := context.WithCancel(context.Background())
	var wait conc.WaitGroup
	wait.Go(func() {
		if err := run(ctx); err != nil {
			d.t.Errorf("daemon ended with %v", err)
		}
	})
	d.t.Cleanup(func() {
		cancel()
		wait.Wait()
	})
	return cancel
}

// freeAddress returns an unused address. A control host needs its address before it
// starts.
func freeAddress(t *testing.T) string {
	t.Helper()
	return loopback.Address(t, loopback.Host(t)).String()
}

// putService adds the service to the configuration.
func (d *deployment) putService() {
	d.t.Helper()
	client := operator.NewClient([]string{d.control.OperatorAddr()}, d.keys.Credentials(keys.RoleOperator, "ada", ""))
	defer client.Close()
	patch := &configpb.Patch{Id: "p1", Operations: []*configpb.Operation{{
		Body: &configpb.Operation_PutService{PutService: &configpb.Service{
			Name: testService, Addresses: []string{"127.0.0.1:4433"}, Slots: 3,
		}},
	}}}
	eventually(d.t, "service accepted", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		out, err := client.Submit(ctx, patch)
		return err == nil && out.GetVerdict() == configpb.Verdict_VERDICT_ACCEPTED
	})
}

// agent runs an agent created by New with its own connections to the control host.
func (d *deployment) agent(target, backendURL string) (*agent, context.CancelFunc) {
	d.t.Helper()
	caller := d.keys.Issue(keys.RoleCaller, "", testService)
	scope := tally.NewTestScope("", nil)
	daemon, err := New(&settingspb.AgentSettings{
		Host:    &settingspb.Host{Name: target, FailureDomain: "bodija"},
		Keys:    d.keys.Issue(keys.RoleAgent, target, testService).Settings(),
		Control: &settingspb.ControlPeers{Addresses: []string{d.control.LinkAddr()}},
		Agent: &settingspb.Agent{
			FrameListen: "127.0.0.1:0", AnnounceListen: "127.0.0.1:0", PollMs: 20,
			CallerCertificate: caller.Certificate, CallerPrivateKey: caller.PrivateKey,
		},
	}, zap.NewNop(), scope)
	must(d.t, err)
	daemon.timing = testTiming()
	daemon.timing.grantCallTimeout = time.Second
	daemon.timing.grantTimeout = waitTimeout
	daemon.timing.minDrainTime = 2 * time.Second
	a := &agent{Daemon: daemon, scope: scope}
	stop := d.run(daemon.Run)
	<-daemon.Ready()
	a.announceState(d.t, target, backendURL, "serving")
	eventually(d.t, "registration", func() bool { return daemon.dataPlane.Load() != nil })
	return a, stop
}

func (d *deployment) secrets() []connid.Secret {
	d.t.Helper()
	credentials, err := keys.Load(d.keys.Issue(keys.RoleEntry, "e1", ""))
	must(d.t, err)
	return dataSecrets(credentials)
}

// Runs agents created by New against a real control host.
func TestAgentWithControlHost(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	tc := newTestCluster(t)
	tc.entry = newFakeEntry(t, d.secrets(), 1)
	authority, err := os.ReadFile(d.keys.Issue(keys.RoleEntry, "e1", "").Authority)
	is.NoErr(err)
	tc.roots.AppendCertsFromPEM(authority)
	backend := newFakeBackend(t)
	a, stop := d.agent("t1", backend.server.URL)
	b, _ := d.agent("t2", backend.server.URL)
	tc.entry.setRoute(a.FrameAddr(), "")
	got := tc.mustSend(t, "POST", "/run", "stamp", headerKey, "k1")
	is.Equal(got.status, http.StatusCreated)
	is.Equal(got.body, "ran stamp")
	eventually(t, "configured slots", func() bool { return a.limiter.snapshot().slots == 3 })

	eventually(t, "both targets in the directory", func() bool { return len(a.directory.Targets()) == 2 })
	stop() // without an alternate, redirects go to a target in the directory
	awaitRequestsAt(t, tc, b)
	got = tc.mustSend(t, "POST", "/run", "stamp", headerKey, "k1")
	is.Equal(got.header.Get(headerTarget), b.dataPlane.Load().self.String())
	is.Equal(got.header.Get(headerReplayed), "true")
	is.Equal(backend.runCount("k1"), 1)
}
