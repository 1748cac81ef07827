package main

// defect is a change of the code that violates a rule of the soak.
type defect struct {
	name string
	// file contains the text to replace exactly once.
	file     string
	old, new string
}

// defects are the defects that the soak must find.
var defects = []defect{
	{"stale read", "internal/controld/routetable.go",
		"if err := d.readBarrier.wait(ctx); err != nil {", "if err := ctx.Err(); err != nil {"},
	{"two contents of a version accepted", "config/routes.go",
		"if r.GetTable().GetRevision() <= activeRevision {", "if r.GetTable().GetRevision() < activeRevision {"},
	{"older version accepted", "config/routes.go",
		"if r.GetTable().GetRevision() <= activeRevision {", "if r.GetTable().GetRevision() == activeRevision {"},
	{"invalid configuration accepted", "config/routes.go",
		"if !v.services[s.GetService()] {", "if len(s.GetService()) == 0 {"},
	{"commit without a quorum", "raft/membership.go",
		"return count > countVoters(m)/2", "return count > 0"},
	{"drain acknowledged but not enforced", "internal/flowd/backendserver.go",
		"a.announce(current)\n\t}\n\ta.refresh()", "a.announce(current)\n\t}\n\tif !current.Draining {\n\t\ta.refresh()\n\t}"},
	{"reset without confirmation", "flow/search.go",
		"if e.placer.HeldElsewhere(key.Public, f.denied, f.heldByNone) {", "if len(f.denied) == 0 {"},
	{"records of a restarted agent are outdated", "internal/subscriber/announcer.go",
		"Sequence:      a.sequence,", "Sequence:      a.sequence - a.opts.FirstSequence + 1,"},
	{"target that is not heard counts as gone", "platform/roles.go",
		"RetainLostMs:     uint32(flowIdleTimeout.Milliseconds()),", "RetainLostMs:     0,"},
	{"restarted agent denies unknown flows", "internal/flowd/backendserver.go",
		"return created && r.GetIncarnation() == 1", "return r != nil"},
	{"targets of another service", "internal/flowd/placer.go",
		"table := p.tables[s.Service]", "table := p.tables[1]"},
	{"routes never updated", "internal/flowd/placer.go",
		"if table := v.Config.GetTable(); table != nil && table != p.table {", "if table := v.Config.GetTable(); table != nil && p.table == nil {"},
	{"reload ends the process", "platform/watcher.go",
		"signal.Notify(w.signals, syscall.SIGHUP)", "signal.Notify(w.signals, syscall.SIGUSR1)"},
	{"stop signal ignored", "platform/command.go",
		"ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)", "signal.Ignore(syscall.SIGTERM)\n\tctx, stop := signal.NotifyContext(ctx, syscall.SIGINT)"},
	{"host with an empty disk does not rejoin", "internal/controld/bootstrap.go",
		"requests.start(v.address)", "_ = requests"},
	{"full disk ends the process", "internal/wal/fs.go",
		"errors.Is(err, syscall.EFBIG)", "errors.Is(err, syscall.ENOTTY)"},
}
