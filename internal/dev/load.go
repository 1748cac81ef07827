package dev

import (
	"context"
	"slices"

	"eelgrasswharf.example/eelgrasswharf/internal/loadgen"
)

// Load runs o against a service of the deployment; what the deployment knows
// better (addresses, roots, targets, backend servers) is filled in.
func (d *Deployment) Load(ctx context.Context, service string, o loadgen.Options) (*loadgen.Report, error) {
	o.Service = service
	o.Addresses = d.Addresses(service)
	o.Roots = d.roots
	o.Targets = d.Targets(service)
	o.IsTarget = func(target string) bool { return slices.Contains(d.Targets(service), target) }
	o.RunCount = func(key string) int { return d.RunCount(service, key) }
	return loadgen.Run(ctx, o)
}
