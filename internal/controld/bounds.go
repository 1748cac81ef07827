package controld

import "time"

const (
	// proposeTimeout bounds the replication of a command for an agent or a
	// follower.
	proposeTimeout = 5 * time.Second
	// barrierTimeout bounds one round of a confirmed read.
	barrierTimeout = time.Second
	// confirmRetry is the pause before the next attempt to confirm a version.
	confirmRetry = time.Second
	// confirmPause is the same while a new version waits to be sent, and
	// confirmPatience how long it may wait.
	confirmPause    = 50 * time.Millisecond
	confirmPatience = 5 * time.Second
	// raftTimeout bounds the delivery of agreement messages, snapshotTimeout
	// that of a batch with a snapshot.
	raftTimeout     = 2 * time.Second
	snapshotTimeout = time.Minute
	// The links between control hosts are few and everything waits for them:
	// a silent one is left sooner than those of other processes.
	peerHeartbeat        = time.Second
	peerHeartbeatTimeout = time.Second
	peerDialTimeout      = 500 * time.Millisecond
	// peerHedge is more than a round trip between regions and a handshake on a
	// fifth of a core take.
	peerHedge   = 150 * time.Millisecond
	peerBackoff = 300 * time.Millisecond
	// unusedPeer is how long the link to a host that is no member is kept.
	unusedPeer = 30 * time.Second
	// promoteLag is how many entries a learner may lack and yet get a vote.
	promoteLag = 64
	// outboxMessages bounds the agreement messages that wait for one peer and
	// group, besides one snapshot.
	outboxMessages = 1024
	// maxPeerMessage bounds a message between control hosts, in bytes: a
	// snapshot of the grants has to fit.
	maxPeerMessage = 160 << 20
	// syncPeriod is how long changed records wait to be passed on together.
	syncPeriod = 50 * time.Millisecond
	// syncTimeout bounds the delivery of records to a peer.
	syncTimeout = 2 * time.Second
	// renewalsPerLease is how often in a lease all own claims are renewed.
	renewalsPerLease = 3
	// expirePeriod is the time between looks for leases that ended.
	expirePeriod = 500 * time.Millisecond
	// advancePeriod is the time between steps of the grants' logical clock.
	advancePeriod = 10 * time.Second
	// agreePeriod is the time between looks whether each group of grants has
	// its slot table.
	agreePeriod = 250 * time.Millisecond
	// spreadPeriod is the time between looks whether this host should lead a
	// group that it does not lead, spreadPause the least time between two
	// requests for one group: each costs the group a short halt.
	spreadPeriod = time.Second
	spreadPause  = 15 * time.Second
	// foundRetry is the pause between attempts to found or join a group.
	foundRetry = 250 * time.Millisecond
	// foundTimeout bounds the question for another host's replicas.
	foundTimeout = time.Second
	// joinRetry is the pause between requests to join, joinTimeout bounds one.
	joinRetry   = time.Second
	joinTimeout = 10 * time.Second
	// automaticJoinTimeout bounds a request where members follow the hosts.
	automaticJoinTimeout = 1500 * time.Millisecond
	// defaultGoneAfter is used where the settings do not say after which silence a
	// member is taken out: a restart takes less.
	defaultGoneAfter = 15 * time.Second
	// rejoinAfter is how long a member knows no leader before it asks to be added
	// again: as long as most elections take.
	rejoinAfter = time.Second
	// leaderPatience is how long a command of an agent waits for a leader: an
	// election takes up to a second, and agents give up after one.
	leaderPatience = 800 * time.Millisecond
	// leaderRetry is the pause between two attempts meanwhile: a link opens within a
	// round trip, 80 ms between two regions.
	leaderRetry = 20 * time.Millisecond
	// isolationPeriod is the time between two looks whether a leader is known, and
	// isolatedAfter how long none may be before subscribers are told. An election
	// takes up to a second; a version that the others accept has to be in force with
	// these subscribers within 3 s of it.
	isolationPeriod = 100 * time.Millisecond
	isolatedAfter   = time.Second
	// standbyPeriod is the mean pause between two questions of a host that stands by,
	// standbyDialTimeout bounds an attempt at a link of it.
	standbyPeriod      = time.Second
	standbyDialTimeout = 3 * time.Second
	// standbyTrust is how long a host that stands by relies on what a member said last.
	standbyTrust = 5 * time.Second
	// tellSeedsPeriod is the time between two notices of a member to a seed that is none:
	// it bounds how long processes that find only such seeds have to wait.
	tellSeedsPeriod = time.Second
	// lackPatience is how long members that serve have to be lacking before a host that
	// stands by is added: longer than a start or an election takes.
	lackPatience = 3 * time.Second
	// linksPerSubscriber is the part of the links of a host that its subscribers are to
	// take up: the rest is for those of a host that is lost.
	linksPerSubscriber = 2
	// membersPeriod is the time between looks whether the members follow the
	// hosts, membersTimeout bounds one change. A host that lost its data folder
	// is to vote again within a few seconds, and each takes two changes.
	membersPeriod  = 200 * time.Millisecond
	membersTimeout = 2 * time.Second
	// votersPatience is how long after its start a host refuses changes for want
	// of voters. Hosts that start together have joined within 2 s.
	votersPatience = 10 * time.Second
	// joinHops bounds how often a request to join is passed on to the leader.
	joinHops = 2
	// heartbeatPeriod is the longest time a subscription goes without a
	// message; silenceLimit ends one whose subscriber says nothing.
	heartbeatPeriod = 2 * time.Second
	silenceLimit    = 20 * time.Second
	// directoryPause is the shortest time between two directory updates of one
	// subscription: changes within it are sent together.
	directoryPause = 100 * time.Millisecond
	// retryAfterBusy tells a refused peer when to come back.
	retryAfterBusy = 500 * time.Millisecond
	// stopTimeout bounds the wait for operators' calls at a shutdown.
	stopTimeout = 10 * time.Second
	// defaultTick and defaultSnapshotEntries stand in for settings left out.
	defaultTick            = 50 * time.Millisecond
	defaultSnapshotEntries = 10_000
)
