package link

import (
	"bytes"
	"io"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"eelgrasswharf.example/eelgrasswharf/api/controlpb"
)

const fuzzLimit = 64 << 10

func encoded(t testing.TB, m proto.Message) []byte {
	t.Helper()
	var b bytes.Buffer
	is.New(t).NoErr(writeMessage(&b, m, fuzzLimit))
	return b.Bytes()
}

func TestConsecutiveMessages(t *testing.T) {
	is := is.New(t)
	var b bytes.Buffer
	is.NoErr(writeMessage(&b, versionQuery(), fuzzLimit))
	big := &controlpb.Request{Body: &controlpb.Request_Propose{Propose: &controlpb.Propose{Command: make([]byte, 3*initialBufferSize)}}}
	is.NoErr(writeMessage(&b, big, fuzzLimit))
	one, two := new(controlpb.Request), new(controlpb.Request)
	is.NoErr(readMessage(&b, one, fuzzLimit))
	is.NoErr(readMessage(&b, two, fuzzLimit))
	is.True(proto.Equal(one, versionQuery()))
	is.True(proto.Equal(two, big))
	is.Equal(readMessage(&b, one, fuzzLimit), io.EOF)
}

func TestSizeIsBoundedOnBothSides(t *testing.T) {
	is := is.New(t)
	m := &controlpb.Request{Body: &controlpb.Request_Propose{Propose: &controlpb.Propose{Command: make([]byte, 100)}}}
	var b bytes.Buffer
	is.True(errors.Is(writeMessage(&b, m, 50), ErrTooLarge))
	is.Equal(b.Len(), 0) // nothing was written
	is.NoErr(writeMessage(&b, m, 200))
	is.True(errors.Is(readMessage(&b, new(controlpb.Request), 50), ErrTooLarge))
}

// Guards against a large allocation caused by a length prefix alone.
func TestClaimedLengthBoundsAllocation(t *testing.T) {
	is := is.New(t)
	prefix := []byte{0xff, 0xff, 0xff, 0x07} // 16 MiB - 1
	var body []byte
	body, err := readBody(bytes.NewReader([]byte{1, 2, 3}), 16<<20-1)
	is.True(errors.Is(err, io.ErrUnexpectedEOF))
	is.Equal(body, nil)
	r := bytes.NewReader(prefix)
	result := testing.Benchmark(func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			r.Reset(prefix)
			_ = readMessage(r, new(controlpb.Request), 16<<20)
		}
	})
	is.True(result.AllocedBytesPerOp() < 2*initialBufferSize)
}

func FuzzReadMessage(f *testing.F) {
	f.Add(encoded(f, versionQuery()))
	f.Add(encoded(f, &controlpb.Request{Body: &controlpb.Request_Subscribe{Subscribe: &controlpb.Subscribe{
		Version: 7, DirectoryEpoch: 1, Services: []uint32{1, 2}, FailureDomain: "dugbe",
	}}}))
	f.Add(encoded(f, &controlpb.Request{Body: &controlpb.Request_Announce{Announce: &controlpb.Announce{
		Record: &controlpb.TargetRecord{Service: 1, Number: 2, Incarnation: 3, Address: "127.0.0.1:1"},
	}}}))
	f.Add([]byte{0})
	f.Add([]byte{0x80, 0x80, 0x80, 0x80, 0x80})
	f.Add([]byte{0xff, 0xff, 0xff, 0x7f, 1})
	f.Add([]byte{5, 1, 2})
	f.Add([]byte{3, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		r := bytes.NewReader(data)
		for {
			m := new(controlpb.Request)
			err := readMessage(r, m, fuzzLimit)
			if err == nil {
				checkRoundTrip(t, m)
				continue
			}
			known := err == io.EOF || errors.Is(err, ErrTooLarge) ||
				errors.Is(err, ErrMalformed) || errors.Is(err, io.ErrUnexpectedEOF)
			if !known {
				t.Fatalf("unexpected error: %v", err)
			}
			return
		}
	})
}

func checkRoundTrip(t *testing.T, m *controlpb.Request) {
	t.Helper()
	again := new(controlpb.Request)
	if err := readMessage(bytes.NewReader(encoded(t, m)), again, fuzzLimit); err != nil {
		t.Fatal(err)
	}
	if !proto.Equal(m, again) {
		t.Fatalf("round trip changed %v to %v", m, again)
	}
}
