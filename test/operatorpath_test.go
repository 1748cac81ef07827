package test

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
	"eelgrasswharf.example/eelgrasswharf/internal/faultproxy"
	"eelgrasswharf.example/eelgrasswharf/internal/operator"
	"eelgrasswharf.example/eelgrasswharf/internal/processtest"
)

// operatorPath connects one operator to one control host through a relay.
type operatorPath struct {
	relay  *faultproxy.TCPRelay
	client *operator.Client
}

func (d *deployment) operatorPaths() []*operatorPath {
	var all []*operatorPath
	for _, host := range d.controls {
		relay := host.OperatorRelay()
		all = append(all, &operatorPath{relay: relay, client: d.Client(relay.Addr())})
	}
	return all
}

// heal removes the faults and closes the connections that have lost bytes.
func (p *operatorPath) heal() {
	p.relay.CloseConnections()
	for _, direction := range []faultproxy.Direction{faultproxy.ToHost, faultproxy.ToCaller} {
		p.relay.SetFaults(direction, faultproxy.Faults{})
	}
}

// pathFault is a fault on the path of a patch from an operator.
type pathFault int

const (
	_ pathFault = iota // no fault
	// responseCut loses the reply after the patch took effect.
	responseCut
	// requestDropped loses the request.
	requestDropped
	// requestDelayed delays the request and its reply.
	requestDelayed
	// requestDuplicated sends the patch to two hosts at once, to one of them
	// over a slow path.
	requestDuplicated
	pathFaults
)

const (
	// pathDelay is the delay of a request or reply in each direction.
	pathDelay = 20 * time.Millisecond
	// lostTimeout ends a request that was lost.
	lostTimeout = 100 * time.Millisecond
	// pollInterval is the time between two queries for an outcome.
	pollInterval = 10 * time.Millisecond
)

// submitWithFault sends the patch once or twice under a random fault and records the
// replies. It returns the path of a lost reply and the outcome seen before it was
// lost.
func (o *testOperator) submitWithFault(patch *configpb.Patch) (lost *operatorPath, seen *configpb.Outcome) {
	path := o.path()
	fault := pathFault(o.random.IntN(int(pathFaults)))
	switch fault {
	case responseCut:
		return path, o.cutResponse(path, patch)
	case requestDropped:
		path.relay.SetFaults(faultproxy.ToHost, faultproxy.Faults{Cut: true})
		o.submitOnce(path, patch, lostTimeout)
		path.heal()
	case requestDelayed:
		o.delay(path)
		o.submitOnce(path, patch, callTimeout)
		path.heal()
	case requestDuplicated:
		o.sendTwice(path, patch)
	}
	return nil, nil
}

func (o *testOperator) delay(path *operatorPath) {
	for _, direction := range []faultproxy.Direction{faultproxy.ToHost, faultproxy.ToCaller} {
		path.relay.SetFaults(direction, faultproxy.Faults{Delay: pathDelay})
	}
}

// submitOnce sends the patch over one path. A reply is a call of its own in the
// history.
func (o *testOperator) submitOnce(path *operatorPath, patch *configpb.Patch, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	from := o.recorder.now()
	out, err := path.client.Submit(ctx, patch)
	if err != nil {
		return false
	}
	o.recorder.record(o.number, from, submitCall(patch), replyOf(out))
	return true
}

// sendTwice sends the patch over two paths concurrently.
func (o *testOperator) sendTwice(path *operatorPath, patch *configpb.Patch) {
	other := o.otherPath(path)
	o.delay(other)
	var first, second bool
	var both conc.WaitGroup
	both.Go(func() { first = o.submitOnce(path, patch, callTimeout) })
	both.Go(func() { second = o.submitOnce(other, patch, callTimeout) })
	both.Wait()
	other.heal()
	if first && second {
		o.recorder.update(func(r *recorder) { r.duplicated++ })
	}
}

// cutResponse sends the patch over a path that drops the reply, and closes the
// connection once another host has the outcome. It returns that outcome, or nil after
// a timeout.
func (o *testOperator) cutResponse(path *operatorPath, patch *configpb.Patch) *configpb.Outcome {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	defer path.heal()
	if _, _, err := path.client.Config(ctx, 0); err != nil {
		return nil // no connection to cut
	}
	path.relay.SetFaults(faultproxy.ToCaller, faultproxy.Faults{Cut: true})
	var call conc.WaitGroup
	call.Go(func() {
		if _, err := path.client.Submit(ctx, patch); err == nil {
			o.t.Error("a reply arrived over a cut path")
		}
	})
	var seen *configpb.Outcome
	for ctx.Err() == nil && seen == nil {
		if seen = o.show(o.otherPath(path), patch.GetId()); seen == nil {
			time.Sleep(pollInterval)
		}
	}
	path.relay.CloseConnections()
	call.Wait()
	return seen
}

// submit sends a patch, usually under a fault first, and then to one host after the
// other until it has the outcome. The history has this as one call. A resend must get
// the outcome that was seen before the reply was lost.
func (o *testOperator) submit(id string, base uint64) {
	from := o.recorder.now()
	patch := putPatch(id, base, o.service)
	lost, seen := o.submitWithFault(patch)
	var out *configpb.Outcome
	attempts := 0
	processtest.Eventually(o.t, "the outcome of "+id, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		attempts++
		path := o.path()
		if lost != nil {
			path = o.otherPath(lost)
		}
		var err error
		out, err = path.client.Submit(ctx, patch)
		return err == nil
	})
	final := replyOf(out)
	o.recorder.record(o.number, from, submitCall(patch), final)
	o.recorder.update(func(r *recorder) { r.resent += attempts - 1 })
	if seen == nil {
		return
	}
	o.recorder.update(func(r *recorder) { r.cutResponses++ })
	if first := replyOf(seen); first != final {
		o.t.Errorf("%s: outcome %+v when the reply was cut, %+v after the resend", id, first, final)
	}
}

func submitCall(p *configpb.Patch) call {
	return call{kind: callSubmit, id: p.GetId(), base: p.GetBaseVersion()}
}
