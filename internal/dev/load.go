package dev

import (
	"context"
	"slices"

	"eelgrasswharf.example/eelgrasswharf/internal/loadgen"
)

// Load generates load against a service of the deployment. It overwrites the options
// that the deployment knows: service, addresses, roots, targets and run counts.
func (d *Deployment) Load(ctx context.Context, service string, o loadgen.Options) (*loadgen.Report, error) {
	o.Service = service
	o.Addresses = d.Addresses(service)
	o.Roots = d.roots
	o.Targets = d.Targets(service)
	o.IsTarget = func(target string) bool { return slices.Contains(d.Targets(service), target) }
	o.RunCount = func(key string) int { return d.RunCount(service, key) }
	return loadgen.Run(ctx, o)
}
