package agentd

import "time"

// timing holds the spans of time that the agent acts by. Tests shorten them.
type timing struct {
	// acceptGrace is the time after the start of leaving in which a caller
	// that holds a Retry of this agent may still finish its handshake.
	acceptGrace time.Duration
	// handOn is the shortest time that a leaving agent stays to hand first
	// packets on, while entry hosts learn that it leaves.
	handOn time.Duration
	// successorWait is how long the callers of a stopping agent stay while no
	// other process of its target is known. It is shorter than a backend server
	// that leaves at the same time serves on.
	successorWait time.Duration
	// moveSpan is the time over which the callers of a stopping agent are told
	// to go elsewhere.
	moveSpan time.Duration
	// idleClose is the time after which a connection with no request is
	// closed once its caller was told to go elsewhere.
	idleClose time.Duration
	// announceLease is the time without an announcement after which the
	// backend server counts as leaving.
	announceLease time.Duration
	// completeWait is how long the answer to a caller waits for its record.
	completeWait time.Duration
	// finishLimit bounds the time for which a record or release is retried
	// in the background.
	finishLimit time.Duration
	// grantWait bounds the wait for a grant.
	grantWait time.Duration
	// grantTry bounds one call for a grant.
	grantTry time.Duration
	// grantProbe is the least time between two calls that find out whether the
	// control hosts answer again.
	grantProbe time.Duration
	// farewell bounds the wait for a control host to hear of the leaving.
	farewell time.Duration
	// listenRetry is the wait between two tries to open the announcement
	// address, which an older process may still hold.
	listenRetry time.Duration
	// lookEvery is the period at which the process looks whether it stood
	// still, and standstill the least time between two looks that counts as
	// such. A busy machine must not bring it about.
	lookEvery, standstill time.Duration
	// thawGrace is the time after a standstill within which the agent has read
	// what waited in its socket.
	thawGrace time.Duration
	// checkEvery is the period of housekeeping.
	checkEvery time.Duration
	// keepAlive and idleTimeout are those of the callers' connections.
	keepAlive, idleTimeout time.Duration
}

func defaultTiming() timing {
	return timing{
		acceptGrace:   2 * time.Second,
		handOn:        5 * time.Second,
		successorWait: 2 * time.Second,
		moveSpan:      2 * time.Second,
		idleClose:     10 * time.Second,
		announceLease: 10 * time.Second,
		completeWait:  time.Second,
		finishLimit:   time.Minute,
		grantWait:     2 * time.Second,
		grantTry:      500 * time.Millisecond,
		grantProbe:    500 * time.Millisecond,
		farewell:      5 * time.Second,
		listenRetry:   100 * time.Millisecond,
		lookEvery:     50 * time.Millisecond,
		standstill:    time.Second,
		thawGrace:     2 * time.Second,
		checkEvery:    200 * time.Millisecond,
		keepAlive:     10 * time.Second,
		idleTimeout:   30 * time.Second,
	}
}

const (
	// meanFlows is the mean number of flows of a target at the size expected.
	meanFlows = 3333
	// maxFlows bounds the table of return paths.
	maxFlows = 16 * meanFlows
	// maxWatches bounds the open watch sessions, at four times the mean: as far
	// as entry hosts tell loads apart.
	maxWatches = 4 * meanFlows
	// maxStreams bounds the requests that one connection has open.
	maxStreams = 256
	// maxBodyBytes bounds the request bodies held at the same time.
	maxBodyBytes = 32 << 20
	// maxRecordBytes is the longest answer that is recorded or held back
	// until it is whole.
	maxRecordBytes = 64 << 10
	// maxKeyBytes is the longest idempotency key.
	maxKeyBytes = 128
	// maxHeaderBytes bounds the headers of requests and answers.
	maxHeaderBytes = 64 << 10
	// maxGrants bounds the requests that wait for a grant.
	maxGrants = 64
	// maxFinishes bounds the records and releases under way in background.
	maxFinishes = 1024
	// queuePerSlot is the length of the queue for each slot.
	queuePerSlot = 2
	// maxHops is the number of times that a first packet is handed on.
	maxHops = 2
)
