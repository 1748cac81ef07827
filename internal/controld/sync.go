package controld

import (
	"context"

	"github.com/go-faster/errors"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
	"eelgrasswharf.example/eelgrasswharf/internal/link"
)

// Counters of directory syncs between control hosts.
const (
	metricSyncs       = "directory_syncs"
	metricFailedSyncs = "failed_syncs"
	metricRepairs     = "directory_repairs"
	metricUnrepaired  = "directory_unrepaired"
)

// sendDirectory sends the changes since the last sync and a summary of the other records.
// If the peer's digests differ, the differing parts follow at once. The next sync covers a
// failed one.
func (p *peer) sendDirectory() {
	if p.client.Address() == "" {
		return
	}
	p.syncMu.Lock()
	defer p.syncMu.Unlock()
	m, cursor := p.dir.sync(p.cursor)
	p.dir.addLoad(m)
	reply, err := p.sendSync(m)
	if err != nil {
		return
	}
	p.cursor = cursor
	if reply != nil && len(reply.GetDigests()) == 0 {
		return
	}
	// A host that returns no digests supports records only and gets all of them.
	p.scope.Counter(metricRepairs).Inc(1)
	m, cursor = p.dir.repair(p.cursor, reply.GetDigests())
	p.dir.addLoad(m)
	reply, err = p.sendSync(m)
	if err != nil {
		return
	}
	p.cursor = cursor
	if len(reply.GetDigests()) > 0 {
		// The next summary tries again.
		p.scope.Counter(metricUnrepaired).Inc(1)
	}
}

// sendSync sends one sync message. The reply is nil from a host that does not support
// summaries.
func (p *peer) sendSync(m *controlpb.DirectorySync) (*controlpb.DirectorySyncReply, error) {
	ctx, cancel := context.WithTimeout(p.ctx, syncTimeout)
	defer cancel()
	res, err := p.client.Call(ctx, &controlpb.Request{Body: &controlpb.Request_DirectorySync{DirectorySync: m}})
	if err == nil {
		err = link.ResponseError(res)
	}
	if err != nil {
		p.scope.Counter(metricFailedSyncs).Inc(1)
		return nil, errors.Wrap(err, "sync the directory")
	}
	p.scope.Counter(metricSyncs).Inc(1)
	return res.GetDirectorySync(), nil
}
