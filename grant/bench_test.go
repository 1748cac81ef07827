package grant_test

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"eelgrasswharf.example/eelgrasswharf/api/grantpb"
	"eelgrasswharf.example/eelgrasswharf/grant"
)

// BenchmarkGrant measures an Acquire and its Complete, and the size of a
// record in a snapshot, in bytes.
func BenchmarkGrant(b *testing.B) {
	m := grant.New()
	for i := range b.N {
		key := fmt.Sprintf("8b6f2c1e-%012d", i%grant.MaxRecords)
		for _, c := range []*grantpb.Command{
			acquire(key, "attempt-16-bytes", "digest-of-thirty-two-bytes-here.."),
			complete(key, "attempt-16-bytes", &grantpb.Answer{Status: 200, Body: make([]byte, 128)}),
		} {
			data, err := proto.Marshal(c)
			if err != nil {
				b.Fatal(err)
			}
			m.Apply(1, data)
		}
	}
	b.StopTimer()
	held, answered := m.Len()
	snapshot, err := m.Snapshot()
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(len(snapshot))/float64(held+answered), "snapshot-B/record")
}
