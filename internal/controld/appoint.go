package controld

import "sync"

// appointer names the founder of a deployment none of whose initial voters keeps its log:
// the first host that keeps its own and asks to join. The initial voter whose name sorts
// first is the one that does so, once it knows all of them, so that one host is named at
// most. It goes on naming the same one until it is a member of what that founded. A start
// after the first one of the deployment names nobody: such a host joins.
type appointer struct {
	mu      sync.Mutex
	allowed bool
	founder *voter
}

// allow tells that this host is the one that names the founder.
func (a *appointer) allow() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.allowed = true
}

// appoint reports whether a host that asks to join is to found the groups.
func (a *appointer) appoint(v voter) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.allowed {
		return false
	}
	if a.founder == nil {
		a.founder = &v
	}
	return a.founder.name == v.name
}

// end tells that the deployment exists: nobody is to found it any more.
func (a *appointer) end() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.allowed = false
}

// named returns the founder, nil if none has been named here.
func (a *appointer) named() *voter {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.founder
}
