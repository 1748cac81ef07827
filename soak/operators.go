package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"

	"eelgrasswharf.example/eelgrasswharf/platform/standin"
)

const (
	// changeInterval is the mean interval of configuration changes.
	changeInterval = 600 * time.Millisecond
	// changeTimeout bounds the retries of a change.
	changeTimeout = 10 * time.Second
	// raceProbability is the probability of two concurrent changes with the same
	// version, invalidProbability that of an invalid configuration.
	raceProbability    = 0.25
	invalidProbability = 0.1
	// olderProbability is the probability that an older version is sent again.
	olderProbability = 0.1
	// readInterval is the interval of reads from one host.
	readInterval = 50 * time.Millisecond
)

// operators change and read the configuration.
type operators struct {
	checker *Checker
	urls    []string
	random  *rand.Rand
	counts  *counts
	// version is the last version sent.
	version int
}

// config returns a version with this service for changingRoute.
func config(version int, service string) standin.Config {
	return standin.Config{
		Version: version,
		Routes: []standin.Route{
			{Address: firstRoute, Service: firstService},
			{Address: secondRoute, Service: secondService},
			{Address: changingRoute, Service: service},
		},
		Services: []string{firstService, secondService},
	}
}

// change sends configurations until ctx ends.
func (o *operators) change(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-time.After(time.Duration(o.random.Float64() * 2 * float64(changeInterval))):
		case <-ctx.Done():
			return
		}
		switch n := o.random.Float64(); {
		case n < invalidProbability:
			o.invalid()
		case n < invalidProbability+olderProbability:
			o.older()
		case n < invalidProbability+olderProbability+raceProbability:
			o.version += 1 + o.random.IntN(3)
			o.race()
		default:
			o.version += 1 + o.random.IntN(3)
			service := firstService
			if o.random.IntN(2) == 0 {
				service = secondService
			}
			o.send(service, o.order())
		}
	}
}

// order returns the URLs in random order.
func (o *operators) order() []string {
	urls := append([]string{}, o.urls...)
	o.random.Shuffle(len(urls), func(i, j int) { urls[i], urls[j] = urls[j], urls[i] })
	return urls
}

// race sends one version with two contents concurrently. Either may win.
func (o *operators) race() {
	first, second := o.order(), o.order()
	var both conc.WaitGroup
	both.Go(func() { o.send(firstService, first) })
	both.Go(func() { o.send(secondService, second) })
	both.Wait()
}

func (o *operators) send(service string, urls []string) {
	o.checker.RecordSent(o.version, service)
	o.counts.changesTried.Add(1)
	begun := time.Now()
	err := standin.Replace(urls, config(o.version, service).Document(), changeTimeout)
	switch {
	case err == nil:
		o.checker.RecordAcked(o.version, time.Now())
		o.counts.changes.Add(1)
	case errors.Is(err, standin.ErrRefused):
		o.checker.AddViolation(RuleInvalid, "version %d is valid and was refused", o.version)
	}
	if err != nil {
		text := fmt.Sprintf("version %d, after %v: %v", o.version, time.Since(begun).Round(time.Millisecond), err)
		o.counts.failure.Store(&text)
	}
	// After any other error the outcome is unknown.
}

// older sends the first version again, which must be acknowledged and have no effect.
func (o *operators) older() {
	err := standin.Replace(o.order(), config(1, firstService).Document(), changeTimeout)
	if errors.Is(err, standin.ErrRefused) {
		o.checker.AddViolation(RuleInvalid, "the first version was refused when sent again")
	}
}

// invalid sends a configuration with an unknown service.
func (o *operators) invalid() {
	bad := config(o.version+1, "no-such-service")
	if err := standin.Replace(o.order(), bad.Document(), changeTimeout); err == nil {
		o.checker.AddViolation(RuleInvalid, "a route to an unknown service was acknowledged")
	}
}

// read reads from one host until ctx ends.
func (o *operators) read(ctx context.Context, url string) {
	for ctx.Err() == nil {
		o.readOne(url)
		select {
		case <-time.After(readInterval):
		case <-ctx.Done():
		}
	}
}

// readOne reads from a host and checks the result. It reports whether the host confirmed
// the newest version.
func (o *operators) readOne(url string) bool {
	o.counts.readsTried.Add(1)
	minVersion := o.checker.NewestAcked(time.Now())
	version, document := standin.ReadDocument(url)
	if version == 0 {
		return false
	}
	o.counts.reads.Add(1)
	o.checker.CheckRead(url, minVersion, version, document)
	return version >= minVersion
}
