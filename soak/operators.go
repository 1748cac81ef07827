package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"

	"eelgrasswharf.example/eelgrasswharf/platform/standin"
)

const (
	// changePause is the mean time between two changes of the configuration.
	changePause = 600 * time.Millisecond
	// changePatience is how long one is sent again until it is acknowledged.
	changePatience = 10 * time.Second
	// raceShare is how many changes two operators make at once, invalidShare how many
	// are invalid.
	raceShare    = 0.25
	invalidShare = 0.1
	// olderShare is how many changes are an older one that arrives again.
	olderShare = 0.1
	// readPause is the time between two reads of one host.
	readPause = 50 * time.Millisecond
)

// operators change and read the configuration.
type operators struct {
	truth  *Checker
	urls   []string
	random *rand.Rand
	counts *counts
	// version is the last one that was sent.
	version int
}

// config is a version whose changing route goes to a service.
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

// change sends versions one after the other until ctx ends.
func (o *operators) change(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-time.After(time.Duration(o.random.Float64() * 2 * float64(changePause))):
		case <-ctx.Done():
			return
		}
		switch n := o.random.Float64(); {
		case n < invalidShare:
			o.invalid()
		case n < invalidShare+olderShare:
			o.older()
		case n < invalidShare+olderShare+raceShare:
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

// order returns the hosts in an order of their own.
func (o *operators) order() []string {
	urls := append([]string{}, o.urls...)
	o.random.Shuffle(len(urls), func(i, j int) { urls[i], urls[j] = urls[j], urls[i] })
	return urls
}

// race sends one version with two contents at once. Either may win, for good.
func (o *operators) race() {
	first, second := o.order(), o.order()
	var both conc.WaitGroup
	both.Go(func() { o.send(firstService, first) })
	both.Go(func() { o.send(secondService, second) })
	both.Wait()
}

func (o *operators) send(service string, urls []string) {
	o.truth.RecordSent(o.version, service)
	err := standin.Replace(urls, config(o.version, service).Document(), changePatience)
	switch {
	case err == nil:
		o.truth.RecordAcked(o.version, time.Now())
		o.counts.changes.Add(1)
	case errors.Is(err, standin.ErrRefused):
		o.truth.AddViolation(RuleInvalid, "version %d is valid and was refused", o.version)
	}
	// One without an answer may or may not be in force.
}

// older sends the first version again: it is acknowledged and changes nothing.
func (o *operators) older() {
	err := standin.Replace(o.order(), config(1, firstService).Document(), changePatience)
	if errors.Is(err, standin.ErrRefused) {
		o.truth.AddViolation(RuleInvalid, "the first version was refused when it came again")
	}
}

// invalid sends a configuration whose route names no service.
func (o *operators) invalid() {
	bad := config(o.version+1, "no-such-service")
	if err := standin.Replace(o.order(), bad.Document(), changePatience); err == nil {
		o.truth.AddViolation(RuleInvalid, "a route to an unknown service was acknowledged")
	}
}

// read reads from one host until ctx ends.
func (o *operators) read(ctx context.Context, url string) {
	for ctx.Err() == nil {
		o.readOne(url)
		select {
		case <-time.After(readPause):
		case <-ctx.Done():
		}
	}
}

// readOne holds what a host answers. It reports whether it confirmed the newest version.
func (o *operators) readOne(url string) bool {
	least := o.truth.NewestAcked(time.Now())
	version, document := standin.ReadDocument(url)
	if version == 0 {
		return false
	}
	o.counts.reads.Add(1)
	o.truth.CheckRead(url, least, version, document)
	return version >= least
}
