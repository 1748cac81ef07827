package grant

import (
	"encoding/binary"
	"hash/fnv"

	"github.com/go-faster/errors"

	"eelgrasswharf.example/eelgrasswharf/api/grantpb"
)

const (
	// Slots is the number of hash slots. Neither it nor the hash may change: two groups
	// could grant a key that moved to another slot.
	Slots = 1024
	// MaxGroups bounds the groups of a deployment.
	MaxGroups = 16
)

// ErrInvalidSlotTable means that a slot table is incomplete or inconsistent.
var ErrInvalidSlotTable = errors.New("invalid slot table")

// SlotTable assigns hash slots to groups. It is immutable.
type SlotTable struct {
	groups int
	owners [Slots]uint8
	digest uint64
}

// NewSlotTable returns a table with an equal range of slots per group. Groups are numbered
// from 0; their number is limited to the range from 1 to MaxGroups.
func NewSlotTable(groups int) *SlotTable {
	t := &SlotTable{groups: min(max(groups, 1), MaxGroups)}
	for slot := range t.owners {
		t.owners[slot] = uint8(slot * t.groups / Slots)
	}
	t.digest = t.computeDigest()
	return t
}

// ParseSlotTable decodes a slot table. Error: ErrInvalidSlotTable.
func ParseSlotTable(m *grantpb.SlotTable) (*SlotTable, error) {
	groups := m.GetGroups()
	if groups < 1 || groups > MaxGroups || len(m.GetOwners()) != Slots {
		return nil, errors.Wrapf(ErrInvalidSlotTable, "%d groups, %d slots", groups, len(m.GetOwners()))
	}
	t := &SlotTable{groups: int(groups)}
	for slot, owner := range m.GetOwners() {
		if uint32(owner) >= groups {
			return nil, errors.Wrapf(ErrInvalidSlotTable, "slot %d of %d groups belongs to group %d", slot, groups, owner)
		}
		t.owners[slot] = owner
	}
	t.digest = t.computeDigest()
	return t, nil
}

// ToProto returns the encoded form.
func (t *SlotTable) ToProto() *grantpb.SlotTable {
	return &grantpb.SlotTable{Groups: uint32(t.groups), Owners: append([]byte(nil), t.owners[:]...)}
}

// Groups returns the number of groups.
func (t *SlotTable) Groups() int { return t.groups }

// Digest identifies the table in commands. It is never 0.
func (t *SlotTable) Digest() uint64 { return t.digest }

// SlotCount returns the number of slots of a group.
func (t *SlotTable) SlotCount(group int) int {
	owned := 0
	for _, owner := range t.owners {
		if int(owner) == group {
			owned++
		}
	}
	return owned
}

// GroupOf returns the group that owns a key.
func (t *SlotTable) GroupOf(service uint32, key string) int {
	return int(t.owners[SlotOf(service, key)])
}

// SlotOf returns the hash slot of a key.
func SlotOf(service uint32, key string) int {
	h := fnv.New64a()
	var number [4]byte
	binary.BigEndian.PutUint32(number[:], service)
	_, _ = h.Write(number[:])
	_, _ = h.Write([]byte(key))
	return int(mix(h.Sum64()) % Slots)
}

// mix improves the distribution of the low bits, which in FNV depend only on the low bits
// of each byte.
func mix(sum uint64) uint64 {
	const factor = 0xff51afd7ed558ccd
	sum ^= sum >> 33
	sum *= factor
	return sum ^ sum>>33
}

func (t *SlotTable) computeDigest() uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte{uint8(t.groups)})
	_, _ = h.Write(t.owners[:])
	return h.Sum64() | 1
}
