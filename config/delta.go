package config

import (
	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
)

// Errors of Merge.
var (
	// ErrBaseMismatch means that a delta starts at another version than the base.
	ErrBaseMismatch = errors.New("delta has another base version")
	// ErrOlderVersion means that an update leads to an older version than the base.
	ErrOlderVersion = errors.New("update leads to an older version")
)

// Diff returns the delta from one version to another. nil stands for no configuration.
func Diff(from, to *configpb.Configuration) *controlpb.ConfigUpdate {
	u := &controlpb.ConfigUpdate{BaseVersion: from.GetVersion(), Version: to.GetVersion()}
	before := byName(from)
	after := byName(to)
	for _, s := range to.GetServices() {
		old := before[s.GetName()]
		if old != s && !proto.Equal(old, s) {
			u.Put = append(u.Put, s)
		}
	}
	for _, s := range from.GetServices() {
		if after[s.GetName()] == nil {
			u.Removed = append(u.Removed, s.GetName())
		}
	}
	u.Retired = retiredDifference(to, from)
	u.Released = retiredDifference(from, to)
	u.Table = diffTable(from.GetTable(), to.GetTable())
	u.Evacuations = diffEvacuations(from, to)
	return u
}

// Merge applies an update to base without changing either. A snapshot replaces any base
// that is not newer; a delta requires the base version that it was computed from. Errors:
// ErrBaseMismatch, ErrOlderVersion.
func Merge(base *configpb.Configuration, u *controlpb.ConfigUpdate) (*configpb.Configuration, error) {
	if snapshot := u.GetSnapshot(); snapshot != nil {
		if snapshot.GetVersion() < base.GetVersion() {
			return nil, ErrOlderVersion
		}
		return snapshot, nil
	}
	if u.GetBaseVersion() != base.GetVersion() {
		return nil, ErrBaseMismatch
	}
	if u.GetVersion() < base.GetVersion() {
		return nil, ErrOlderVersion
	}
	if u.GetVersion() == base.GetVersion() {
		return base, nil
	}
	removed := map[string]bool{}
	for _, name := range u.GetRemoved() {
		removed[name] = true
	}
	put := map[string]*configpb.Service{}
	for _, s := range u.GetPut() {
		put[s.GetName()] = s
	}
	retired := retiredSet(base)
	for _, address := range u.GetReleased() {
		delete(retired, address)
	}
	for _, address := range u.GetRetired() {
		retired[address] = true
	}
	merged := assemble(base, u.GetVersion(), put, removed, retired)
	merged.Table = mergeTable(base.GetTable(), u.GetTable())
	if list := u.GetEvacuations(); list != nil {
		merged.Evacuations = list.GetEvacuations()
	}
	return merged, nil
}

func byName(c *configpb.Configuration) map[string]*configpb.Service {
	services := make(map[string]*configpb.Service, len(c.GetServices()))
	for _, s := range c.GetServices() {
		services[s.GetName()] = s
	}
	return services
}
