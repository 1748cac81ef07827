package membership

import (
	"cmp"
	"fmt"
	"iter"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
)

// Scope limits a subscription to some services and failure domains. Nil and empty sets
// mean all.
type Scope struct {
	services map[uint32]bool
	domains  map[string]bool
	// name is the same for scopes of the same services and failure domains.
	name string
}

// NewScope returns the scope of these service numbers and failure domains.
func NewScope(services []uint32, domains ...string) *Scope {
	s := &Scope{services: setOf(services), domains: setOf(domains)}
	s.name = fmt.Sprintf("%d %q", slices.Sorted(maps.Keys(s.services)), slices.Sorted(maps.Keys(s.domains)))
	return s
}

// key identifies a scope by its contents.
func (s *Scope) key() string {
	if s == nil {
		return ""
	}
	return s.name
}

func setOf[T comparable](list []T) map[T]bool {
	set := make(map[T]bool, len(list))
	for _, one := range list {
		set[one] = true
	}
	return set
}

func (s *Scope) contains(r *controlpb.TargetRecord) bool {
	return s.hasService(r) && (s == nil || len(s.domains) == 0 || s.domains[r.GetFailureDomain()])
}

func (s *Scope) hasService(r *controlpb.TargetRecord) bool {
	return s == nil || len(s.services) == 0 || s.services[r.GetService()]
}

// formerlyContained reports whether the target was in the scope before it moved to another
// failure domain.
func (s *Scope) formerlyContained(t *target) bool {
	return s.hasService(t.latest) && slices.ContainsFunc(t.formerDomains, func(name string) bool { return s.domains[name] })
}

// Update returns the changes for a subscriber at this epoch and sequence, nil if there
// are none.
//
// If the epoch differs or the history does not go back far enough, all records are
// returned. From an incomplete directory that update is not marked as full: it adds to
// the subscriber's list and removes nothing.
func (d *Directory) Update(now time.Duration, epoch, sequence uint64, s *Scope) *controlpb.DirectoryUpdate {
	if epoch != d.opts.Epoch || !d.hasHistory(sequence) {
		return d.Full(now, s)
	}
	return d.since(now, sequence, s)
}

// hasHistory reports whether every change after the sequence is known.
func (d *Directory) hasHistory(sequence uint64) bool {
	return sequence >= d.historyStart && sequence <= d.sequence
}

// since returns the changes after a sequence, nil if there are none.
func (d *Directory) since(now time.Duration, sequence uint64, s *Scope) *controlpb.DirectoryUpdate {
	if sequence == d.sequence {
		return nil
	}
	u := d.update()
	for t := range d.changedAfter(sequence) {
		u.collect(now, t, s)
	}
	slices.Reverse(u.Put)
	slices.Reverse(u.Removed)
	return u.DirectoryUpdate
}

// changedAfter yields the targets and removals that have changed after a sequence, newest
// first.
func (d *Directory) changedAfter(sequence uint64) iter.Seq[*target] {
	return func(yield func(*target) bool) {
		for e := d.changes.Back(); e != nil; e = e.Prev() {
			t := e.Value.(*target)
			if t.sequence <= sequence || !yield(t) {
				return
			}
		}
	}
}

// Full returns all records within the scope, by target number.
func (d *Directory) Full(now time.Duration, s *Scope) *controlpb.DirectoryUpdate {
	u := d.update()
	u.Full = d.Complete(now)
	for _, t := range d.byID {
		u.collect(now, t, s)
	}
	u.sort()
	return u.DirectoryUpdate
}

type update struct{ *controlpb.DirectoryUpdate }

func (d *Directory) update() update {
	return update{&controlpb.DirectoryUpdate{Epoch: d.opts.Epoch, Sequence: d.sequence}}
}

// collect adds a target, or its removal if it was removed or has moved out of the scope.
func (u update) collect(now time.Duration, t *target, s *Scope) {
	inside := s.contains(t.latest)
	if !inside && !s.formerlyContained(t) {
		return
	}
	if t.isRemoved || !inside {
		u.Removed = append(u.Removed, t.latest.GetNumber())
		return
	}
	u.Put = append(u.Put, t.withAge(now, t.published))
}

// sort makes the order of the records deterministic.
func (u update) sort() { slices.SortFunc(u.Put, byNumber) }

func byNumber(a, b *controlpb.TargetRecord) int { return cmp.Compare(a.GetNumber(), b.GetNumber()) }

// withAge copies a record of the target with its current age, so that a new receiver does
// not consider the target cold.
func (t *target) withAge(now time.Duration, r *controlpb.TargetRecord) *controlpb.TargetRecord {
	out := proto.CloneOf(r)
	out.AgeMs = t.latest.GetAgeMs() + uint64(max(now-t.receivedAt, 0).Milliseconds())
	return out
}
