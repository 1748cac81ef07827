package entryd

import (
	"context"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/api/settingspb"
	"eelgrasswharf.example/eelgrasswharf/connid"
	"eelgrasswharf.example/eelgrasswharf/frame"
	"eelgrasswharf.example/eelgrasswharf/internal/keys"
	"eelgrasswharf.example/eelgrasswharf/internal/link"
)

// controlHost sends every subscriber one configuration and one target.
type controlHost struct {
	update *controlpb.SubscribeUpdate
}

func (h *controlHost) Call(context.Context, link.Peer, *controlpb.Request) *controlpb.Response {
	return nil
}

func (h *controlHost) Subscribe(ctx context.Context, _ link.Peer, _ *controlpb.Subscribe, s *link.ServerStream) error {
	if err := s.Send(h.update); err != nil {
		return err
	}
	ticker := time.NewTicker(link.SubscriptionHeartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			beat := &controlpb.Heartbeat{Version: h.update.GetConfig().GetVersion()}
			if err := s.Send(&controlpb.SubscribeUpdate{Heartbeat: beat}); err != nil {
				return err
			}
		}
	}
}

// issue creates the key files of a process.
func issue(t *testing.T, dir string, role keys.Role, name string) keys.Files {
	t.Helper()
	files, err := keys.Issue(dir, role, name, "", nil, time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	return files
}

func keySettings(files keys.Files) *settingspb.Keys {
	return &settingspb.Keys{
		Authority:   files.Authority,
		Certificate: files.Certificate,
		PrivateKey:  files.PrivateKey,
		DataSecrets: files.DataSecrets,
	}
}

func entrySettings(files keys.Files, control string) *settingspb.EntrySettings {
	return &settingspb.EntrySettings{
		Host:    &settingspb.Host{Name: "entry-1", FailureDomain: "oke-ado"},
		Keys:    keySettings(files),
		Control: &settingspb.ControlPeers{Addresses: []string{control}},
		Forwarding: &settingspb.Forwarding{
			PublicIp:      loopback.String(),
			FreePorts:     true,
			FrameListen:   "127.0.0.1:0",
			AgentNetworks: []string{"127.0.0.0/8"},
		},
	}
}

// daemonHarness is a running daemon with one target, connected to a control host.
type daemonHarness struct {
	*harness
	d      *Daemon
	dir    string
	files  keys.Files
	server *link.Server
	agent  *socket
	caller *socket
}

func startDaemon(t *testing.T) *daemonHarness {
	t.Helper()
	is := is.New(t)
	r := &daemonHarness{dir: t.TempDir(), agent: newSocket(t), caller: newSocket(t)}
	is.NoErr(keys.InitAuthority(r.dir))
	r.files = issue(t, r.dir, keys.RoleEntry, "entry-1")
	r.serve(t, view(4, services(serviceAt(lodgement, publicOne)), record(lodgement, 1, r.agent.addr())))

	d, err := New(entrySettings(r.files, r.server.Addr().String()), zap.NewNop(), tally.NoopScope)
	is.NoErr(err)
	d.keysReloadInterval = 10 * time.Millisecond
	ctx, cancel := context.WithCancel(context.Background())
	r.d = d
	r.harness = &harness{tb: t, f: d.forwarder, stop: cancel, done: make(chan error, 1)}
	go func() { r.done <- d.Run(ctx) }()
	t.Cleanup(r.end)
	<-d.Ready()
	return r
}

// serve starts a control host that sends the view.
func (r *daemonHarness) serve(t *testing.T, v *View) {
	t.Helper()
	is := is.New(t)
	handler := &controlHost{update: &controlpb.SubscribeUpdate{
		Config:    &controlpb.ConfigUpdate{Snapshot: v.Config, Version: v.Config.GetVersion(), Confirmed: true},
		Directory: &controlpb.DirectoryUpdate{Epoch: 1, Sequence: 1, Full: true, Put: v.Targets},
	}}
	creds, err := keys.FromSettings(keySettings(issue(t, r.dir, keys.RoleControl, "control-1")))
	is.NoErr(err)
	r.server, err = link.Listen("127.0.0.1:0", creds, handler, link.ServerOptions{})
	is.NoErr(err)
	t.Cleanup(func() { _ = r.server.Close() })
}

// established returns a packet of an established flow.
func (r *daemonHarness) established(t *testing.T) []byte {
	t.Helper()
	creds, err := keys.FromSettings(keySettings(r.files))
	if err != nil {
		t.Fatal(err)
	}
	target := connid.Target{Address: r.agent.addr(), Number: 1, Incarnation: 1}
	return shortPacket(t, dataSecrets(creds), target, "")
}

func TestDaemonForwardsWithoutControlHost(t *testing.T) {
	is := is.New(t)
	r := startDaemon(t)
	local := r.local(publicOne)
	first, flow := initialPacket("made-up-id"), r.established(t)
	pass := func(packet []byte) {
		r.caller.send(packet, local)
		src, from := r.agent.receive()
		is.Equal(from.String(), r.d.FrameAddr())
		is.Equal(src[frame.HeaderLength:], packet)
	}
	pass(first)
	pass(flow)

	is.NoErr(r.server.Close())
	pass(first)
	pass(flow)

	r.stop()
	is.NoErr(<-r.done)
	close(r.done)
}

func TestDaemonLoadsAddedSecret(t *testing.T) {
	is := is.New(t)
	r := startDaemon(t)
	before := r.established(t)

	id, err := keys.AddDataSecret(r.dir)
	is.NoErr(err)
	is.NoErr(keys.PreferDataSecret(r.dir, id))
	after := r.established(t)
	r.await("the added secret", func() bool {
		_, verdict := r.f.codecs.Load().ids.Decode(after[1:])
		return verdict == connid.OK
	})

	for _, packet := range [][]byte{before, after} {
		r.caller.send(packet, r.local(publicOne))
		src, _ := r.agent.receive()
		is.Equal(src[frame.HeaderLength:], packet)
	}
}

func TestNewValidatesSettings(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	is.NoErr(keys.InitAuthority(dir))
	entryFiles := issue(t, dir, keys.RoleEntry, "entry-1")
	check := func(change func(s *settingspb.EntrySettings)) error {
		s := entrySettings(entryFiles, "127.0.0.1:1")
		change(s)
		_, err := New(s, zap.NewNop(), tally.NoopScope)
		return err
	}

	is.True(errors.Is(check(func(s *settingspb.EntrySettings) { s.Control = nil }), ErrNoControlHosts))
	is.True(errors.Is(check(func(s *settingspb.EntrySettings) { s.Forwarding = nil }), ErrFrameAddress))
	is.True(errors.Is(check(func(s *settingspb.EntrySettings) { s.Forwarding.AgentNetworks = nil }), ErrNoAgentNetworks))
	is.True(errors.Is(check(func(s *settingspb.EntrySettings) { s.Keys.DataSecrets = "" }), connid.ErrNoSecrets))
	is.True(check(func(s *settingspb.EntrySettings) { s.Keys = nil }) != nil)
	is.True(errors.Is(check(func(s *settingspb.EntrySettings) {
		s.Keys = keySettings(issue(t, dir, keys.RoleControl, "control-1"))
	}), ErrWrongRole))
}
