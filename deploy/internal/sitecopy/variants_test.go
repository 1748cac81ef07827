package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/BurntSushi/toml"
	"github.com/matryer/is"
)

const smallSite = `
name = "small"
zones = [{ name = "a", region = "r" }, { name = "b", region = "r" }]
machines = [
  { class = "front", zone = "a", count = 1, counted = true, disk = { mb = 64 } },
  { class = "front", zone = "a", count = 2 },
  { class = "front", zone = "b", count = 1, counted = true, disk = { mb = 64 } },
  { class = "side", zone = "a", count = 4, app = "main" },
  { class = "side", zone = "b", count = 1, app = "other" },
]
services = [{ name = "main", slots = 4 }, { name = "other", slots = 4 }]
classes = [{ name = "watch", service = "main", also = ["other"] }, { name = "copy", service = "other" }]
traffic = [{ zone = "a", mix = { watch = 7 } }, { zone = "b", mix = { watch = 7 } }]
[discovery]
beat_ms = 1200
lag_ms = 800
[entry]
hash = "steady"
[bounds]
drain_ms = 3000
grace_s = 6.0
[tolerate]
machines = 1
[[day]]
name = "quiet-1"
floor_zones = [0.5]
plan = [{ at = 1.0, kind = "release", service = "other", zone = "b" }]
faults = []
traffic = [{ zone = "a", mix = { watch = 7 } }, { zone = "b", mix = { watch = 7 } }]
`

func readVariant(t *testing.T, name string) site {
	t.Helper()
	is := is.New(t)
	dir := t.TempDir()
	path := filepath.Join(dir, "small.toml")
	is.NoErr(os.WriteFile(path, []byte(smallSite), 0o600))
	is.NoErr(writeVariants(dir, path, []string{name}))
	var s site
	_, err := toml.DecodeFile(filepath.Join(dir, "small-"+name+".toml"), &s)
	is.NoErr(err)
	return s
}

// countMachines returns the number of machines that match.
func countMachines(t *testing.T, s site, match func(table) bool) int64 {
	t.Helper()
	machines, err := s.list("machines")
	is.New(t).NoErr(err)
	sum := int64(0)
	for _, m := range machines {
		if match(m) {
			sum += m["count"].(int64)
		}
	}
	return sum
}

func hasDisk(m table) bool { return m["disk"] != nil }

func inZone(name string) func(table) bool {
	return func(m table) bool { return m["zone"] == name }
}

func TestVariants(t *testing.T) {
	for name, check := range map[string]func(*testing.T, site) bool{
		"mod": func(_ *testing.T, s site) bool { return s["entry"].(table)["hash"] == "mod" },
		"zones1": func(t *testing.T, s site) bool {
			return countMachines(t, s, inZone("b")) == 0 && countMachines(t, s, inZone("a")) == 9
		},
		"zones5": func(t *testing.T, s site) bool {
			zones, err := s.list("zones")
			return err == nil && len(zones) == 5 && countMachines(t, s, inZone("zone-5")) == 7
		},
		"regions2": func(_ *testing.T, s site) bool {
			zones, err := s.list("zones")
			return err == nil && zones[0]["region"] != zones[1]["region"]
		},
		"disks-half": func(t *testing.T, s site) bool { return countMachines(t, s, hasDisk) == 1 },
		"disks-few":  func(t *testing.T, s site) bool { return countMachines(t, s, hasDisk) == 3 },
		"disks7":     func(t *testing.T, s site) bool { return countMachines(t, s, hasDisk) == 7 },
		"seed1":      func(t *testing.T, s site) bool { return countMachines(t, s, hasDisk) == 1 },
		"targets-more": func(t *testing.T, s site) bool {
			return countMachines(t, s, func(m table) bool { return m["class"] == "side" }) == 10
		},
		"beats-half": func(_ *testing.T, s site) bool { return s["discovery"].(table)["beat_ms"] == int64(600) },
		"bounds-double": func(_ *testing.T, s site) bool {
			b := s["bounds"].(table)
			return b["drain_ms"] == int64(6000) && b["grace_s"] == 12.0
		},
		"services1": func(t *testing.T, s site) bool {
			services, err := s.list("services")
			return err == nil && len(services) == 1 && countMachines(t, s, func(m table) bool { return m["app"] == "other" }) == 0
		},
		"services5": func(t *testing.T, s site) bool {
			classes, err := s.list("classes")
			return err == nil && len(classes) == 5 && countMachines(t, s, func(m table) bool { return m["app"] == "service-5" }) == 1
		},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).True(check(t, readVariant(t, name)))
		})
	}
}

func TestInvalidVariants(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	path := filepath.Join(dir, "site.toml")
	is.True(writeVariants(dir, path, nil) != nil) // no such file
	is.NoErr(os.WriteFile(path, []byte("name = \"bare\"\n"), 0o600))
	is.True(writeVariants(dir, path, []string{"mod"}) != nil) // nothing to change
	is.True(writeVariants(dir, path, []string{"no-such"}) != nil)
}
