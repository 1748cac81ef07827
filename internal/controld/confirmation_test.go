package controld_test

import (
	"sync"
	"testing"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/internal/keys"
	"eelgrasswharf.example/eelgrasswharf/internal/subscriber"
	"eelgrasswharf.example/eelgrasswharf/internal/wal"
)

// stallingFS is the real file system, except that syncs block while it is stalled.
type stallingFS struct {
	wal.OSFS
	// stalled is held while syncs block.
	stalled sync.RWMutex
}

func (fs *stallingFS) Create(path string) (wal.File, error) {
	file, err := fs.OSFS.Create(path)
	return &stallingFile{File: file, fs: fs}, err
}

func (fs *stallingFS) Append(path string) (wal.File, error) {
	file, err := fs.OSFS.Append(path)
	return &stallingFile{File: file, fs: fs}, err
}

type stallingFile struct {
	wal.File
	fs *stallingFS
}

func (f *stallingFile) Sync() error {
	f.fs.stalled.RLock()
	defer f.fs.stalled.RUnlock()
	return f.File.Sync()
}

// startSubscriber starts a subscriber that is connected to the first host and knows all.
func (d *deployment) startSubscriber(hosts ...string) *subscriber.Subscriber {
	d.t.Helper()
	client := d.link(keys.RoleEntry, "e1", "", hosts[0])
	s := subscriber.Start(subscriber.Options{Client: client})
	d.t.Cleanup(s.Close)
	eventually(d.t, "a subscription", func() bool { return s.View().Connected })
	var all []string
	for _, name := range hosts {
		all = append(all, d.hosts[name].daemon.LinkAddr())
	}
	client.SetAddresses(all)
	return s
}

// Guards against subscribers that stay on an old version with a control host that knows a
// leader and cannot make progress.
func TestSubscriberLeavesHostWithStalledDisk(t *testing.T) {
	d := newDeployment(t, "c1", "c2", "c3")
	fs := &stallingFS{}
	d.fs = map[string]wal.FS{"c3": fs}
	d.startAll("c1", "c2", "c3")
	d.accept(d.operator("c1"), patch("p1", 0, put("lodgement", "192.0.2.1:443")))
	eventually(t, "a follower with a disk to stall", func() bool {
		s := d.status("c3").Groups[0]
		return s.Leader != "" && s.Leader != "c3" && d.status("c3").Version == 1
	})
	s := d.startSubscriber("c3", "c1", "c2")
	eventually(t, "version 1", func() bool { return s.View().Config.GetVersion() == 1 })
	fs.stalled.Lock()
	defer fs.stalled.Unlock()
	d.accept(d.operator("c1", "c2"), patch("p2", 1, put("lodgement", "192.0.2.1:443")))
	eventually(t, "version 2", func() bool { return s.View().Config.GetVersion() == 2 })
}

// Guards against a control host that says nothing of its own state as long as targets change.
func TestHeartbeatsContinueWhileTargetsChange(t *testing.T) {
	is := is.New(t)
	d := newSingleHostWith(t, put("lodgement", "192.0.2.1:443"))
	agent := d.link(keys.RoleAgent, "a1", "lodgement", "c1")
	r := registerTarget(t, agent, "t1")
	w := d.subscribe(d.link(keys.RoleEntry, "e1", "", "c1"), &controlpb.Subscribe{})
	heartbeats, withoutOne := 0, 0
	const enough = 3
	// A change each tenth of a second, ten times as often as heartbeats are due.
	const maxWithoutOne = 40
	for r.Sequence = 2; heartbeats < enough && withoutOne < maxWithoutOne; r.Sequence++ {
		r.State = controlpb.TargetState_TARGET_STATE_SERVING
		if r.Sequence%2 == 0 {
			r.State = controlpb.TargetState_TARGET_STATE_DRAINING
		}
		is.Equal(call(t, agent, announceRequest(r)).GetAnnounce().GetRefusal(), "")
		w.await("the change", func(u *controlpb.SubscribeUpdate) bool {
			withoutOne++
			if u.GetHeartbeat() != nil {
				heartbeats, withoutOne = heartbeats+1, 0
			}
			return u.GetDirectory() != nil
		})
	}
	is.Equal(heartbeats, enough)
}

// Guards against an answer to a subscriber's request by a read that began before, or by none.
func TestSubscriberRequestsConfirmation(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, "c1", "c2", "c3")
	d.startAll("c1", "c2", "c3")
	d.accept(d.operator("c1", "c2", "c3"), patch("p1", 0, put("lodgement", "192.0.2.1:443")))
	w := d.subscribe(d.link(keys.RoleEntry, "e1", "", "c1"), &controlpb.Subscribe{})
	w.awaitVersion(1)
	answered := func(number uint64) func(*controlpb.SubscribeUpdate) bool {
		return func(u *controlpb.SubscribeUpdate) bool {
			h := u.GetHeartbeat()
			return h.GetConfirm() == number && h != nil && h.GetVersion() == 1
		}
	}
	for number := uint64(1); number <= 3; number++ {
		is.NoErr(w.stream.Send(&controlpb.Heartbeat{Version: 1, Confirm: number}))
		w.await("the answer", answered(number))
	}
	d.stop("c2")
	d.stop("c3")
	is.NoErr(w.stream.Send(&controlpb.Heartbeat{Version: 1, Confirm: 4}))
	w.await("a heartbeat of the isolated host", func(u *controlpb.SubscribeUpdate) bool {
		is.True(u.GetHeartbeat().GetConfirm() != 4)
		return u.GetHeartbeat().GetIsolated()
	})
}
