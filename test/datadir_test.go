package test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/internal/processtest"
)

// deployControls starts control hosts and creates some versions.
func deployControls(t *testing.T) *deployment {
	t.Helper()
	const versions = 8
	d := &deployment{Cluster: processtest.New(t)}
	d.controls = d.StartControls(3)
	d.lodgement = d.NewService("lodgement")
	for range versions {
		d.Patch(d.lodgement.PutSection())
	}
	return d
}

// waitVersion waits until the host itself has the version.
func (d *deployment) waitVersion(t *testing.T, host *processtest.Control, version uint64) {
	t.Helper()
	processtest.Eventually(t, fmt.Sprintf("%s has version %d", host.Name, version), func() bool {
		s := host.Status()
		return s != nil && s.Version == version
	})
}

// TestControlHostStartsWithTornLogTail appends a partial record to a host's log, as a
// crash between write and sync does.
func TestControlHostStartsWithTornLogTail(t *testing.T) {
	is := is.New(t)
	d := deployControls(t)
	host := d.Leader()
	host.Kill()
	segment := latest(host.ConfigFiles(processtest.SegmentPattern))
	data, err := os.ReadFile(segment)
	is.NoErr(err)
	const torn = 40 // more than a header, less than a record
	is.NoErr(os.WriteFile(segment, append(data, data[:torn]...), 0o600))
	host.Launch()
	host.WaitReady()
	version := d.Patch(d.lodgement.PutSection())
	d.waitVersion(t, host, version)
}

func latest(paths []string) string { return paths[len(paths)-1] }

// TestCorruptedFilePreventsStart flips one bit in each kind of file. The host refuses
// to start with an error that names file and offset. Repaired, it starts and catches
// up.
func TestCorruptedFilePreventsStart(t *testing.T) {
	d := deployControls(t)
	host := d.controls[0]
	for name, test := range map[string]struct {
		pattern string
		// part is the position of the byte as a fraction of the file's length.
		part float64
	}{
		"middle of a log segment": {processtest.SegmentPattern, 0.5},
		"start of a log segment":  {processtest.SegmentPattern, 0},
		"snapshot":                {"*.snap", 0.7},
		"identity":                {"identity", 0.7},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			host.Kill()
			path := latest(host.ConfigFiles(test.pattern))
			restore := flip(t, path, test.part)
			host.Launch()
			is.Equal(host.WaitExitCode(), 1)
			output := host.Output()
			is.True(strings.Contains(output, "data directory is corrupted"))
			is.True(strings.Contains(output, filepath.Base(path)+", offset "))
			version := d.Patch(d.lodgement.PutSection())
			restore()
			host.Launch()
			host.WaitReady()
			d.waitVersion(t, host, version)
		})
	}
}

// flip changes one bit of a file and returns the function that restores it.
func flip(t *testing.T, path string, part float64) (restore func()) {
	t.Helper()
	is := is.New(t)
	data, err := os.ReadFile(path)
	is.NoErr(err)
	at := int(part * float64(len(data)))
	change := func() {
		data[at] ^= 1 << 3
		is.NoErr(os.WriteFile(path, data, 0o600))
	}
	change()
	return change
}

// TestFullDiskStopsControlHost limits the file size on one host. It stops with a clear
// error, keeps what it acknowledged, and the other hosts go on.
func TestFullDiskStopsControlHost(t *testing.T) {
	for name, pick := range map[string]func(*deployment) *processtest.Control{
		"leader":   (*deployment).Leader,
		"follower": func(d *deployment) *processtest.Control { return d.Leader().Others()[0] },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := deployControls(t)
			host := pick(d)
			host.LimitFileSize(host.ConfigLogBytes() + 10)
			d.Patch(d.lodgement.PutSection())
			is.Equal(host.WaitExitCode(), 1)
			is.True(strings.Contains(host.Output(), "no space left for the data directory"))
			version := d.Patch(d.lodgement.PutSection())
			host.Launch()
			host.WaitReady()
			d.waitVersion(t, host, version)
			for v := uint64(1); v <= version; v++ {
				is.Equal(d.Show(fmt.Sprint("patch-", v)).Version, v)
			}
		})
	}
}
