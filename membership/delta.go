package membership

import (
	"cmp"
	"iter"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
)

// Scope limits what a subscriber is told to some services and failure
// domains. Nil and empty sets mean all.
type Scope struct {
	services map[uint32]bool
	domains  map[string]bool
}

// NewScope returns the scope of these service numbers and failure domains.
func NewScope(services []uint32, domains ...string) *Scope {
	return &Scope{services: setOf(services), domains: setOf(domains)}
}

func setOf[T comparable](list []T) map[T]bool {
	set := make(map[T]bool, len(list))
	for _, one := range list {
		set[one] = true
	}
	return set
}

func (s *Scope) has(r *controlpb.TargetRecord) bool {
	return s.hasService(r) && (s == nil || len(s.domains) == 0 || s.domains[r.GetFailureDomain()])
}

func (s *Scope) hasService(r *controlpb.TargetRecord) bool {
	return s == nil || len(s.services) == 0 || s.services[r.GetService()]
}

// had reports whether the target was in the scope before it moved to another
// failure domain.
func (s *Scope) had(t *target) bool {
	return s.hasService(t.heard) && slices.ContainsFunc(t.formerDomains, func(name string) bool { return s.domains[name] })
}

// Update returns what a subscriber that holds the given epoch and sequence
// has to change, or nil if nothing.
//
// A subscriber of another epoch, or one too far behind, gets the full list.
// From a directory that is not settled the list is not full: it adds to what
// the subscriber holds from elsewhere and removes nothing.
func (d *Directory) Update(now time.Duration, epoch, sequence uint64, s *Scope) *controlpb.DirectoryUpdate {
	if epoch != d.opts.Epoch || !d.remembers(sequence) {
		return d.Full(now, s)
	}
	return d.since(now, sequence, s)
}

// remembers reports whether every change after the sequence is known.
func (d *Directory) remembers(sequence uint64) bool {
	return sequence >= d.floor && sequence <= d.sequence
}

// since returns the changes after a sequence, or nil if there is none.
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

// changedAfter yields the targets and removals that have changed after a
// sequence, the last one first.
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

// Full returns the whole list within the scope, by target number.
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

func (u update) collect(now time.Duration, t *target, s *Scope) {
	inside := s.has(t.heard)
	if !inside && !s.had(t) {
		return
	}
	if t.isGone || !inside {
		u.Removed = append(u.Removed, t.heard.GetNumber())
		return
	}
	u.Put = append(u.Put, t.aged(now, t.published))
}

// sort puts the records in the order of their numbers, so that an update is
// the same whatever order the targets were met in.
func (u update) sort() { slices.SortFunc(u.Put, byNumber) }

func byNumber(a, b *controlpb.TargetRecord) int { return cmp.Compare(a.GetNumber(), b.GetNumber()) }

// aged copies a record of the target with its age at the given time, so that
// one that is told late of a target does not take it for a cold one.
func (t *target) aged(now time.Duration, r *controlpb.TargetRecord) *controlpb.TargetRecord {
	out := proto.CloneOf(r)
	out.AgeMs = t.heard.GetAgeMs() + uint64(max(now-t.heardAt, 0).Milliseconds())
	return out
}
