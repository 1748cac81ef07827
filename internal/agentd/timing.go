package agentd

import "time"

// timing holds the timeouts and intervals of the agent. Tests shorten them.
type timing struct {
	// handshakeGrace is the time after the start of draining in which a caller with a
	// Retry of this agent may complete its handshake.
	handshakeGrace time.Duration
	// minDrainTime is the least time that a draining agent stays to redirect first
	// packets, while entry hosts learn that it drains.
	minDrainTime time.Duration
	// successorTimeout is the time for which the callers of a stopping agent stay
	// while no successor process is known. It must be shorter than the drain grace of
	// a backend server that stops at the same time.
	successorTimeout time.Duration
	// goAwayRamp is the time over which the share of callers that get GOAWAY rises.
	goAwayRamp time.Duration
	// idleCloseTimeout is the idle time after which a connection that got GOAWAY is
	// closed.
	idleCloseTimeout time.Duration
	// announceLease is the time without an announcement after which the backend
	// server counts as draining.
	announceLease time.Duration
	// completeTimeout bounds the delay of a response until it is recorded.
	completeTimeout time.Duration
	// backgroundTimeout bounds the retries of a background command.
	backgroundTimeout time.Duration
	// grantTimeout bounds the acquisition of a grant.
	grantTimeout time.Duration
	// grantCallTimeout bounds one call for a grant.
	grantCallTimeout time.Duration
	// grantProbeInterval is the least time between probes of an unavailable grant
	// group.
	grantProbeInterval time.Duration
	// drainAnnounceTimeout bounds the wait for a control host to acknowledge
	// draining.
	drainAnnounceTimeout time.Duration
	// listenRetryInterval is the interval between attempts to open the announcement
	// address, which an older process may hold.
	listenRetryInterval time.Duration
	// stallCheckInterval is the period of the stall check, stallThreshold the least
	// time between two checks that counts as a stall. Delays under normal load must
	// not exceed it.
	stallCheckInterval, stallThreshold time.Duration
	// stallGrace is the time after a stall within which the agent has read its socket
	// buffer.
	stallGrace time.Duration
	// housekeepingInterval is the period of housekeeping.
	housekeepingInterval time.Duration
	// keepAlive and idleTimeout apply to the callers' connections.
	keepAlive, idleTimeout time.Duration
}

func defaultTiming() timing {
	return timing{
		handshakeGrace:       2 * time.Second,
		minDrainTime:         5 * time.Second,
		successorTimeout:     2 * time.Second,
		goAwayRamp:           2 * time.Second,
		idleCloseTimeout:     10 * time.Second,
		announceLease:        10 * time.Second,
		completeTimeout:      time.Second,
		backgroundTimeout:    time.Minute,
		grantTimeout:         2 * time.Second,
		grantCallTimeout:     500 * time.Millisecond,
		grantProbeInterval:   500 * time.Millisecond,
		drainAnnounceTimeout: 5 * time.Second,
		listenRetryInterval:  100 * time.Millisecond,
		stallCheckInterval:   50 * time.Millisecond,
		stallThreshold:       time.Second,
		stallGrace:           2 * time.Second,
		housekeepingInterval: 200 * time.Millisecond,
		keepAlive:            10 * time.Second,
		idleTimeout:          30 * time.Second,
	}
}

const (
	// expectedFlows is the mean number of flows of a target at the expected
	// deployment size.
	expectedFlows = 3333
	// maxFlows bounds the flow table.
	maxFlows = 16 * expectedFlows
	// maxWatches bounds the open watches at four times the mean: as far as entry hosts tell
	// loads apart.
	maxWatches = 4 * expectedFlows
	// maxStreams bounds the open requests of one connection.
	maxStreams = 256
	// maxBodyBytes bounds the buffered request bodies.
	maxBodyBytes = 32 << 20
	// maxRecordBytes is the largest response that is buffered before it is forwarded.
	maxRecordBytes = 64 << 10
	// maxKeyBytes bounds an idempotency key.
	maxKeyBytes = 128
	// maxHeaderBytes bounds the headers of requests and responses.
	maxHeaderBytes = 64 << 10
	// maxPendingGrants bounds the requests that wait for a grant.
	maxPendingGrants = 64
	// maxBackgroundCommands bounds the records and releases in the background.
	maxBackgroundCommands = 1024
	// queuePerSlot is the queue length per slot.
	queuePerSlot = 2
	// maxHops is the greatest number of redirects of a first packet.
	maxHops = 2
)
