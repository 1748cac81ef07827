package grant

import (
	"container/list"

	"eelgrasswharf.example/eelgrasswharf/api/grantpb"
)

// attemptKey identifies one attempt for a key.
type attemptKey struct {
	recordKey
	attempt string
}

func attemptOf(service uint32, key string, attempt []byte) attemptKey {
	return attemptKey{recordKey: recordKey{service: service, key: key}, attempt: string(attempt)}
}

// releasedAttempts keeps released attempts, so that a late Acquire of one is refused.
// Beyond MaxReleased the oldest is evicted; its late Acquire would hold the key, which is
// safe.
type releasedAttempts struct {
	byKey map[attemptKey]struct{}
	// order lists them in order of release, oldest first.
	order *list.List
}

func newReleasedAttempts() *releasedAttempts {
	return &releasedAttempts{byKey: map[attemptKey]struct{}{}, order: list.New()}
}

func (s *releasedAttempts) has(service uint32, key string, attempt []byte) bool {
	_, found := s.byKey[attemptOf(service, key, attempt)]
	return found
}

// add stores an attempt. A repeated release changes nothing.
func (s *releasedAttempts) add(r *grantpb.Released) {
	key := attemptOf(r.GetService(), r.GetKey(), r.GetAttempt())
	if _, found := s.byKey[key]; found {
		return
	}
	if len(s.byKey) >= MaxReleased {
		s.evictOldest()
	}
	s.byKey[key] = struct{}{}
	s.order.PushBack(r)
}

func (s *releasedAttempts) oldest() *grantpb.Released {
	if e := s.order.Front(); e != nil {
		return e.Value.(*grantpb.Released)
	}
	return nil
}

func (s *releasedAttempts) evictOldest() {
	r := s.oldest()
	delete(s.byKey, attemptOf(r.GetService(), r.GetKey(), r.GetAttempt()))
	s.order.Remove(s.order.Front())
}

func (s *releasedAttempts) expire(now uint64) {
	retention := uint64(ReleasedRetention.Milliseconds())
	for r := s.oldest(); r != nil && r.GetReleasedMs()+retention <= now; r = s.oldest() {
		s.evictOldest()
	}
}

// all returns the attempts, oldest first.
func (s *releasedAttempts) all() []*grantpb.Released {
	all := make([]*grantpb.Released, 0, s.order.Len())
	for e := s.order.Front(); e != nil; e = e.Next() {
		all = append(all, e.Value.(*grantpb.Released))
	}
	return all
}
