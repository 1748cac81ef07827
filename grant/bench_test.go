package grant_test

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"eelgrasswharf.example/eelgrasswharf/api/grantpb"
	"eelgrasswharf.example/eelgrasswharf/grant"
)

// BenchmarkGrant measures an Acquire with its Complete, and the size of a record in a
// snapshot, in bytes.
func BenchmarkGrant(b *testing.B) {
	m := grant.New()
	for i := range b.N {
		key := fmt.Sprintf("8b6f2c1e-%012d", i%grant.MaxRecords)
		for _, c := range []*grantpb.Command{
			acquire(key, "attempt-16-bytes", "digest-of-thirty-two-bytes-here.."),
			complete(key, "attempt-16-bytes", &grantpb.Answer{Status: 200, Body: make([]byte, 128)}),
		} {
			data, err := proto.Marshal(c)
			must(b, err)
			m.Apply(1, data)
		}
	}
	b.StopTimer()
	held, answered := m.Len()
	snapshot, err := m.Snapshot()
	must(b, err)
	b.ReportMetric(float64(len(snapshot))/float64(held+answered), "snapshot-B/record")
}

// BenchmarkRelease measures an Acquire with its Release while the released attempts are at
// their limit, and the size of their snapshot, in bytes.
func BenchmarkRelease(b *testing.B) {
	m := grant.New()
	for i := range grant.MaxReleased {
		m.Apply(1, encodedCommand(b, release(fmt.Sprintf("8b6f2c1e-%012d", i), "attempt-16-bytes")))
	}
	key, attempt := "8b6f2c1e-one-key-of-many", make([]byte, 16)
	var commands [][2][]byte
	for i := range 2 * grant.MaxReleased { // each is evicted before it is repeated
		attempt[0], attempt[1] = byte(i), byte(i>>8)
		commands = append(commands, [2][]byte{
			encodedCommand(b, acquire(key, string(attempt), "digest-of-thirty-two-bytes-here..")),
			encodedCommand(b, release(key, string(attempt))),
		})
	}
	snapshot, err := m.Snapshot()
	must(b, err)
	for i := 0; b.Loop(); i++ {
		pair := commands[i%len(commands)]
		m.Apply(1, pair[0])
		m.Apply(1, pair[1])
	}
	b.ReportMetric(float64(len(snapshot)), "snapshot-B")
}

func encodedCommand(b *testing.B, c *grantpb.Command) []byte {
	data, err := proto.Marshal(c)
	must(b, err)
	return data
}
