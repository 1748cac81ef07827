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
	ticker := time.NewTicker(link.SubscriptionHeartbeat)
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

// issue makes the files of a process.
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

func TestDaemonForwardsAndOutlivesItsControlHost(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	is.NoErr(keys.InitAuthority(dir))
	controlFiles := issue(t, dir, keys.RoleControl, "control-1")
	entryFiles := issue(t, dir, keys.RoleEntry, "entry-1")
	agent, caller := newSocket(t), newSocket(t)

	v := view(4, services(serviceAt(lodgement, publicOne)), record(lodgement, 1, agent.addr()))
	handler := &controlHost{update: &controlpb.SubscribeUpdate{
		Config:    &controlpb.ConfigUpdate{Snapshot: v.Config, Version: 4, Confirmed: true},
		Directory: &controlpb.DirectoryUpdate{Epoch: 1, Sequence: 1, Full: true, Put: v.Targets},
	}}
	controlCreds, err := keys.FromSettings(keySettings(controlFiles))
	is.NoErr(err)
	server, err := link.Listen("127.0.0.1:0", controlCreds, handler, link.ServerOptions{})
	is.NoErr(err)
	defer func() { _ = server.Close() }()

	d, err := New(entrySettings(entryFiles, server.Addr().String()), zap.NewNop(), tally.NoopScope)
	is.NoErr(err)
	d.keysPeriod = 10 * time.Millisecond
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- d.Run(ctx) }()
	<-d.Ready()
	r := &rig{tb: t, f: d.forwarder}
	local := r.local(publicOne)

	caller.send(initialPacket("made-up-id"), local)
	_, from := agent.receive()
	is.Equal(from.String(), d.FrameAddr())

	// Without any control host it goes on, for flows and for new ones.
	is.NoErr(server.Close())
	creds, err := keys.FromSettings(keySettings(entryFiles))
	is.NoErr(err)
	target := connid.Target{Address: agent.addr(), Number: 1, Incarnation: 1}
	packet := shortPacket(t, dataSecrets(creds), target, "")
	caller.send(packet, local)
	agent.receive()
	caller.send(initialPacket("made-up-id"), local)
	agent.receive()

	// A secret that is added to the file is known soon.
	id, err := keys.AddDataSecret(dir)
	is.NoErr(err)
	r.await("the added secret", func() bool { return len(d.creds.DataSecrets()) == 2 })
	is.NoErr(keys.PreferDataSecret(dir, id))
	_, err = creds.Reload()
	is.NoErr(err)
	r.await("the codecs", func() bool {
		id := shortPacket(t, dataSecrets(creds), target, "")[1:]
		_, verdict := d.forwarder.codecs.Load().ids.Decode(id)
		return verdict == connid.OK
	})
	caller.send(shortPacket(t, dataSecrets(creds), target, ""), local)
	agent.receive()

	cancel()
	is.NoErr(<-done)
}

func TestNewChecksSettings(t *testing.T) {
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
	}), ErrRole))
}
