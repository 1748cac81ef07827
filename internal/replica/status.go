package replica

import "eelgrasswharf.example/eelgrasswharf/api/raftpb"

// Status is a replica's view of itself and its group at one time.
type Status struct {
	Self *raftpb.ReplicaID
	// Leader is nil while none is known.
	Leader *raftpb.ReplicaID
	Term   uint64
	// Commit and Applied are log indexes.
	Commit  uint64
	Applied uint64
	// Formed says that the replica knows the members of its group.
	Formed  bool
	Members []MemberStatus
}

// MemberStatus is what the replica knows of one member.
type MemberStatus struct {
	Member *raftpb.Member
	// Match is the highest log index known to be on the member's disk. Only a
	// leader knows it of others; elsewhere it is 0.
	Match uint64
	// Active says that the member answered the leader within an election
	// timeout. Only a leader knows it.
	Active bool
}
