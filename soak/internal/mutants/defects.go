package main

// defect is a change of the code that breaks a promise.
type defect struct {
	name string
	// file has the text that is replaced, once.
	file     string
	old, new string
}

// defects are what the soak has to find. A test holds each to the code as it is.
var defects = []defect{
	{"stale read", "internal/controld/routetable.go",
		"if err := d.readBarrier.wait(ctx); err != nil {", "if err := ctx.Err(); err != nil {"},
	{"two winners", "config/routes.go",
		"if r.GetTable().GetRevision() <= activeRevision {", "if r.GetTable().GetRevision() < activeRevision {"},
	{"older version accepted", "config/routes.go",
		"if r.GetTable().GetRevision() <= activeRevision {", "if r.GetTable().GetRevision() == activeRevision {"},
	{"invalid accepted", "config/routes.go",
		"if !v.services[s.GetService()] {", "if len(s.GetService()) == 0 {"},
	{"commit without a quorum", "raft/membership.go",
		"return count > countVoters(m)/2", "return count > 0"},
	{"drain acknowledged, not enforced", "internal/flowd/backendserver.go",
		"a.announce(current)\n\t}\n\ta.refresh()", "a.announce(current)\n\t}\n\tif !current.Draining {\n\t\ta.refresh()\n\t}"},
	{"reset on doubt", "flow/search.go",
		"if !e.covered[agent] && !contains(f.denied, agent) {\n\t\t\treturn Verdict{Action: Drop, Reason: ReasonNotHeld}, Packet{}\n\t\t}\n\t}\n\tdelete(", "if len(f.denied) == 0 || agent.IsZero() {\n\t\t\treturn Verdict{Action: Drop, Reason: ReasonNotHeld}, Packet{}\n\t\t}\n\t}\n\tdelete("},
	{"targets of another service", "internal/flowd/placer.go",
		"st := p.targets[s.Service]", "st := p.targets[1]"},
	{"routes never renewed", "internal/flowd/placer.go",
		"if table := v.Config.GetTable(); table != nil && table != p.table {", "if table := v.Config.GetTable(); table != nil && p.table == nil {"},
	{"reload ends the process", "platform/watch.go",
		"signal.Notify(w.signals, syscall.SIGHUP)", "signal.Notify(w.signals, syscall.SIGUSR1)"},
	{"stop is not obeyed", "platform/command.go",
		"ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)", "signal.Ignore(syscall.SIGTERM)\n\tctx, stop := signal.NotifyContext(ctx, syscall.SIGINT)"},
	{"a host with an empty disk stays out", "internal/controld/bootstrap.go",
		"requests.start(v.address)", "_ = requests"},
	{"a full disk ends the process", "internal/wal/fs.go",
		"errors.Is(err, syscall.EFBIG)", "errors.Is(err, syscall.ENOTTY)"},
}
