package controld

import "time"

const (
	// proposeTimeout bounds the replication of a command for an agent or a follower.
	proposeTimeout = 5 * time.Second
	// barrierTimeout bounds one round of a confirmed read.
	barrierTimeout = time.Second
	// confirmRetry is the interval between attempts to confirm a version.
	confirmRetry = time.Second
	// confirmPendingRetry is that interval while a new version waits to be sent. After
	// confirmTimeout the version is sent although no quorum has replied.
	confirmPendingRetry = 50 * time.Millisecond
	confirmTimeout      = 5 * time.Second
	// raftTimeout bounds the delivery of Raft messages, snapshotTimeout that of a batch
	// with a snapshot.
	raftTimeout     = 2 * time.Second
	snapshotTimeout = time.Minute
	// peerHeartbeat, peerHeartbeatTimeout and peerDialTimeout are the timing of links between
	// control hosts. They are shorter than for other links, since replication depends on them.
	peerHeartbeat        = time.Second
	peerHeartbeatTimeout = time.Second
	peerDialTimeout      = 500 * time.Millisecond
	// peerHedge is the time without a reply after which another attempt to connect starts.
	// It exceeds a round trip between regions plus a handshake on a slow host. peerBackoff
	// bounds the delay between attempts.
	peerHedge   = 150 * time.Millisecond
	peerBackoff = 300 * time.Millisecond
	// unusedPeerTimeout is how long an unused link to a host that is no member stays open.
	unusedPeerTimeout = 30 * time.Second
	// promoteLag is the number of entries that a learner may lack when it is promoted.
	promoteLag = 64
	// outboxMessages bounds the queued Raft messages for one peer and group, besides one
	// snapshot.
	outboxMessages = 1024
	// maxPeerMessage bounds a message between control hosts, in bytes. It has to fit a
	// snapshot of the grants.
	maxPeerMessage = 160 << 20
	// syncPeriod is how long changed records are collected before they are sent to peers.
	syncPeriod = 50 * time.Millisecond
	// subscribersPerSync is the change of the number of subscribers that is sent to peers at
	// once, since they decide by it where subscribers move.
	subscribersPerSync = 8
	// syncTimeout bounds the delivery of records to a peer.
	syncTimeout = 2 * time.Second
	// renewalsPerLease is the number of directory summaries sent to peers per lease.
	renewalsPerLease = 3
	// startingSyncPeriod is the interval of summaries while the directory is not complete. Other
	// hosts wait for one after membership.ReturnTime before they end lost flows, so it is short
	// against that time.
	startingSyncPeriod = 200 * time.Millisecond
	// expirePeriod is the interval between checks for expired leases.
	expirePeriod = 500 * time.Millisecond
	// advancePeriod is the interval between steps of the grants' logical clock.
	advancePeriod = 10 * time.Second
	// slotTablePeriod is the interval between checks that each grant group has its slot
	// table.
	slotTablePeriod = 250 * time.Millisecond
	// leadershipPeriod is the interval between checks whether this host should lead a
	// group. leadershipInterval is the minimum time between two requests for one group,
	// since each interrupts the group briefly.
	leadershipPeriod   = time.Second
	leadershipInterval = 15 * time.Second
	// bootstrapRetry is the interval between attempts to bootstrap or join a group.
	bootstrapRetry = 250 * time.Millisecond
	// replicaQueryTimeout bounds a query for another host's replicas.
	replicaQueryTimeout = time.Second
	// joinRetry is the interval between requests to join, joinTimeout bounds one.
	joinRetry   = time.Second
	joinTimeout = 10 * time.Second
	// automaticJoinTimeout bounds a request to join with automatic members.
	automaticJoinTimeout = 1500 * time.Millisecond
	// defaultRemoveAfter is the default time until an inactive member is removed. It
	// exceeds a restart.
	defaultRemoveAfter = 15 * time.Second
	// rejoinDelay is how long a member knows no leader before it asks to be added again. It
	// covers most elections.
	rejoinDelay = time.Second
	// leaderWaitTimeout is how long a command of an agent waits for a leader. It is shorter
	// than the agents' own timeout of a second.
	leaderWaitTimeout = 800 * time.Millisecond
	// leaderRetry is the interval between attempts while a command waits for a leader. A link
	// opens within a round trip, 80 ms between two regions.
	leaderRetry = 20 * time.Millisecond
	// confirmationPeriod is the longest time between two confirmations of the local state,
	// confirmationRetry the interval of attempts after a failed one.
	confirmationPeriod = 400 * time.Millisecond
	confirmationRetry  = 100 * time.Millisecond
	// isolationPeriod is the interval between checks of the last confirmation.
	// isolationDelay is how long ago it may be before subscribers are notified: longer than
	// most elections, and short enough that a version accepted by the others is active
	// within 3 s.
	isolationPeriod = 100 * time.Millisecond
	isolationDelay  = 1500 * time.Millisecond
	// standbyPeriod is the mean interval between a standby's requests for membership,
	// standbyDialTimeout bounds an attempt to connect.
	standbyPeriod      = time.Second
	standbyDialTimeout = 3 * time.Second
	// servingHostsMaxAge is how long a standby relies on the last list of serving hosts.
	servingHostsMaxAge = 5 * time.Second
	// notifySeedsPeriod is the interval between notifications of seed hosts that are no
	// members. A process that only knows such hosts waits at most this long.
	notifySeedsPeriod = time.Second
	// shortageDelay is how long serving members must be short before a standby is added. It
	// exceeds a start and an election.
	shortageDelay = 3 * time.Second
	// linksPerSubscriber is the number of links reserved per subscriber, so that a host can
	// take over the subscribers of a lost one.
	linksPerSubscriber = 2
	// membersPeriod is the interval between membership checks, membersTimeout bounds one
	// change. A host that lost its data directory needs two changes to vote again.
	membersPeriod  = 200 * time.Millisecond
	membersTimeout = 2 * time.Second
	// votersWaitTimeout is how long after its start a host refuses changes for lack of
	// voters.
	votersWaitTimeout = 10 * time.Second
	// maxJoinHops bounds how often a request to join is forwarded to a leader.
	maxJoinHops = 2
	// heartbeatPeriod is the longest time without the state of this host on a subscription.
	// With confirmationPeriod it is well below the age at which subscribers leave a host
	// (package freshness). A subscription ends if its subscriber sends nothing for
	// subscriberTimeout.
	heartbeatPeriod   = 750 * time.Millisecond
	subscriberTimeout = 20 * time.Second
	// directoryInterval is the minimum time between two directory updates of one
	// subscription. Changes within it are sent together.
	directoryInterval = 100 * time.Millisecond
	// retryAfterBusy is the retry delay sent with a refusal.
	retryAfterBusy = 500 * time.Millisecond
	// stopTimeout bounds the wait for operators' calls at a shutdown.
	stopTimeout = 10 * time.Second
	// Defaults of the settings.
	defaultTick            = 50 * time.Millisecond
	defaultSnapshotEntries = 10_000
)
