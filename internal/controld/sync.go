package controld

import (
	"context"

	"github.com/go-faster/errors"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/internal/link"
)

// Names of the counters of the directory's exchange between control hosts.
const (
	metricSyncs       = "directory_syncs"
	metricFailedSyncs = "failed_syncs"
	metricRepairs     = "directory_repairs"
	metricUnrepaired  = "directory_unrepaired"
)

// sendDirectory tells the far end what has changed since it was last told, and
// sums up the rest. If it knows something else, the parts that differ follow
// at once. What fails is made up for by the next message.
func (p *peer) sendDirectory() {
	if p.client.Address() == "" {
		return
	}
	p.telling.Lock()
	defer p.telling.Unlock()
	m, cursor := p.dir.sync(p.cursor)
	p.dir.tellLoad(m)
	reply, err := p.tell(m)
	if err != nil {
		return
	}
	p.cursor = cursor
	if reply != nil && len(reply.GetDigests()) == 0 {
		return
	}
	// A host that answers no digests takes records only: it gets them all.
	p.scope.Counter(metricRepairs).Inc(1)
	m, cursor = p.dir.repair(p.cursor, reply.GetDigests())
	p.dir.tellLoad(m)
	reply, err = p.tell(m)
	if err != nil {
		return
	}
	p.cursor = cursor
	if len(reply.GetDigests()) > 0 {
		// It cannot take all: the next renewal tries again.
		p.scope.Counter(metricUnrepaired).Inc(1)
	}
}

// tell sends one message of the directory. The reply is nil from a host that
// knows no summaries.
func (p *peer) tell(m *controlpb.DirectorySync) (*controlpb.DirectorySyncReply, error) {
	ctx, cancel := context.WithTimeout(p.ctx, syncTimeout)
	defer cancel()
	res, err := p.client.Call(ctx, &controlpb.Request{Body: &controlpb.Request_DirectorySync{DirectorySync: m}})
	if err == nil {
		err = link.ResponseError(res)
	}
	if err != nil {
		p.scope.Counter(metricFailedSyncs).Inc(1)
		return nil, errors.Wrap(err, "pass the directory on")
	}
	p.scope.Counter(metricSyncs).Inc(1)
	return res.GetDirectorySync(), nil
}
