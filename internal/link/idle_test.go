package link

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/internal/keys"
)

// The benchmark process runs the server and a child process runs the clients.
const (
	idleChildEnv = "LINK_IDLE_CHILD"
	idleAddrEnv  = "LINK_IDLE_ADDR"
	idleDirEnv   = "LINK_IDLE_KEYS"
	// idleDuration is the time for heartbeats before memory is read.
	idleDuration = 3 * DefaultHeartbeatInterval
)

// residentKB returns the resident memory of this process.
func residentKB() (int64, error) {
	runtime.GC()
	debug.FreeOSMemory()
	data, err := os.ReadFile("/proc/self/status")
	if err != nil {
		return 0, err
	}
	for _, line := range strings.Split(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			return strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
		}
	}
	return 0, fmt.Errorf("no VmRSS")
}

// slope returns the slope of the least-squares line through the points.
func slope(x, y []float64) float64 {
	var sx, sy, sxx, sxy float64
	n := float64(len(x))
	for i := range x {
		sx += x[i]
		sy += y[i]
		sxx += x[i] * x[i]
		sxy += x[i] * y[i]
	}
	return (n*sxy - sx*sy) / (n*sxx - sx*sx)
}

// BenchmarkIdleConnections reports the resident memory per connection at each end, as the
// slope over four sizes, and the client's heartbeat traffic in both directions, UDP payload
// only.
func BenchmarkIdleConnections(b *testing.B) {
	is := is.New(b)
	dir := b.TempDir()
	is.NoErr(keys.InitAuthority(dir))
	files, err := keys.Issue(dir, keys.RoleControl, "c1", "", nil, time.Hour)
	is.NoErr(err)
	_, err = keys.Issue(dir, keys.RoleEntry, "e1", "", nil, time.Hour)
	is.NoErr(err)
	creds, err := keys.Load(files)
	is.NoErr(err)
	server, err := Listen(anyPort, creds, newFakeHandler(), ServerOptions{AdmitPerSecond: 1000, AdmitBurst: 1000})
	is.NoErr(err)
	defer func() { _ = server.Close() }()

	child := exec.Command(os.Args[0], "-test.run=^TestIdleChild$")
	child.Env = append(os.Environ(), idleChildEnv+"=1", idleAddrEnv+"="+server.Addr().String(), idleDirEnv+"="+dir)
	child.Stderr = os.Stderr
	in, err := child.StdinPipe()
	is.NoErr(err)
	out, err := child.StdoutPipe()
	is.NoErr(err)
	is.NoErr(child.Start())
	lines := bufio.NewScanner(out)

	var sizes, serverKB, clientKB, rate []float64
	for _, n := range []int{125, 250, 500, 1000} {
		fmt.Fprintln(in, n)
		var clientRSS, bytesPerSecond float64
		for lines.Scan() {
			if _, err := fmt.Sscanf(lines.Text(), "idle %g %g", &clientRSS, &bytesPerSecond); err == nil {
				break
			}
		}
		is.Equal(server.Connections(), n)
		rss, err := residentKB()
		is.NoErr(err)
		b.Logf("%4d connections: server %d KB, clients %.0f KB, %.0f B/s a connection", n, rss, clientRSS, bytesPerSecond)
		sizes = append(sizes, float64(n))
		serverKB = append(serverKB, float64(rss))
		clientKB = append(clientKB, clientRSS)
		rate = append(rate, bytesPerSecond)
	}
	is.NoErr(in.Close())
	_, _ = io.Copy(io.Discard, out)
	is.NoErr(child.Wait())
	b.ReportMetric(slope(sizes, serverKB), "server-KB/conn")
	b.ReportMetric(slope(sizes, clientKB), "client-KB/conn")
	b.ReportMetric(rate[len(rate)-1], "B/s/conn")
	b.ReportMetric(0, "ns/op")
}

// TestIdleChild runs the clients in the child process of BenchmarkIdleConnections.
func TestIdleChild(t *testing.T) {
	if os.Getenv(idleChildEnv) == "" {
		return
	}
	is := is.New(t)
	dir := os.Getenv(idleDirEnv)
	creds, err := keys.Load(keys.Files{
		Authority:   dir + "/" + keys.AuthorityFile,
		Certificate: dir + "/e1.pem",
		PrivateKey:  dir + "/e1.key.pem",
	})
	is.NoErr(err)
	var clients []*Client
	input := bufio.NewScanner(os.Stdin)
	for input.Scan() {
		n, err := strconv.Atoi(input.Text())
		is.NoErr(err)
		for len(clients) < n {
			c, _ := startClient(t, creds, ClientOptions{
				LocalIP: loopback,
				Rand:    rand.New(rand.NewPCG(1, uint64(len(clients)))),
			}, os.Getenv(idleAddrEnv))
			_, err := c.Call(timeoutContext(t), versionQuery())
			is.NoErr(err)
			clients = append(clients, c)
		}
		time.Sleep(idleDuration)
		before := transferred(clients)
		time.Sleep(idleDuration)
		bytes := transferred(clients) - before
		rss, err := residentKB()
		is.NoErr(err)
		fmt.Printf("idle %d %g\n", rss, float64(bytes)/idleDuration.Seconds()/float64(n))
	}
}

// transferred returns the bytes of UDP payload sent and received by the clients.
func transferred(clients []*Client) uint64 {
	var sum uint64
	for _, c := range clients {
		sent, received := c.Transferred()
		sum += sent + received
	}
	return sum
}
