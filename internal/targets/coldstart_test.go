package targets

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
)

const lodgement = 1

func TestAgeGrowsBetweenViews(t *testing.T) {
	is := is.New(t)
	address := netip.MustParseAddrPort("127.0.0.1:7000")
	usable := func(netip.AddrPort) bool { return true }
	young := record(lodgement, 1, address)
	young.AgeMs = 1000
	list := []*controlpb.TargetRecord{young}
	ageAt := func(d *Directory, now time.Duration) time.Duration {
		d.Table(nil, lodgement, now)
		return d.services[lodgement].targets[0].Age
	}

	const begin = time.Hour
	d := New(nil, list, begin, usable)
	is.Equal(ageAt(d, begin), time.Second)
	is.Equal(ageAt(d, begin+2*time.Second), 3*time.Second)

	// A repeated record doesn't make the target younger.
	d = New(d, list, begin+5*time.Second, usable)
	is.Equal(ageAt(d, begin+5*time.Second), 6*time.Second)

	// A new incarnation has a new cold start.
	again := proto.CloneOf(young) // records of views are immutable
	again.Incarnation = 2
	d = New(d, []*controlpb.TargetRecord{again}, begin+9*time.Second, usable)
	is.Equal(ageAt(d, begin+9*time.Second), time.Second)
}

// A restart of the backend server in the same incarnation is another cold start.
func TestColdStartOfTheSameIncarnation(t *testing.T) {
	known := coldStart{at: time.Hour, sequence: 5}
	for _, tt := range []struct {
		name   string
		record coldStart
		want   coldStart
	}{
		{"the same record later", coldStart{time.Hour + time.Minute, 5}, known},
		{"an older record", coldStart{time.Hour + time.Minute, 4}, known},
		{"a newer record, delayed", coldStart{time.Hour + restartMargin, 6}, coldStart{time.Hour, 6}},
		{"a newer record, less delayed", coldStart{time.Hour - time.Millisecond, 6}, coldStart{time.Hour - time.Millisecond, 6}},
		{"another start", coldStart{time.Hour + time.Minute, 6}, coldStart{time.Hour + time.Minute, 6}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is.New(t).Equal(known.merge(tt.record), tt.want)
		})
	}
}

func TestRestartResetsAge(t *testing.T) {
	is := is.New(t)
	usable := func(netip.AddrPort) bool { return true }
	one := record(lodgement, 1, netip.MustParseAddrPort("127.0.0.1:7000"))
	list := []*controlpb.TargetRecord{one}
	d := New(nil, list, time.Hour, usable)
	again := proto.CloneOf(one)
	again.AgeMs = 10
	again.Sequence++
	d = New(d, []*controlpb.TargetRecord{again}, time.Hour+time.Second, usable)
	d.Table(nil, lodgement, time.Hour+time.Second)
	is.Equal(d.services[lodgement].targets[0].Age, 10*time.Millisecond)
}

func record(service, number uint32, address netip.AddrPort) *controlpb.TargetRecord {
	return &controlpb.TargetRecord{
		Service:     service,
		Number:      number,
		Incarnation: 1,
		Address:     address.String(),
		State:       controlpb.TargetState_TARGET_STATE_SERVING,
		AgeMs:       3_600_000,
	}
}
