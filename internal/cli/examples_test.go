package cli_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/internal/cli"
	"eelgrasswharf.example/eelgrasswharf/internal/experiment"
	"eelgrasswharf.example/eelgrasswharf/internal/settings"
)

const examples = "../../examples"

// exampleFiles are the number of files of each example by name pattern.
var exampleFiles = map[string]map[string]int{
	"registry": {
		"control-*.ini": 3, "entry-*.ini": 4, "agent-lodgement-*.ini": 7, "agent-certificates-*.ini": 4,
		"services.ini": 1, "experiment.ini": 1,
	},
	"towarzysz": {
		"control-*.ini": 3, "entry-*.ini": 3, "agent-matching-*.ini": 7, "agent-itinerary-*.ini": 3,
		"services.ini": 1, "experiment.ini": 1,
	},
}

func TestExamplesAreAccepted(t *testing.T) {
	for site, patterns := range exampleFiles {
		t.Run(site, func(t *testing.T) {
			is := is.New(t)
			dir := filepath.Join(t.TempDir(), site)
			is.NoErr(os.CopyFS(dir, os.DirFS(filepath.Join(examples, site))))
			issueExampleKeys(t, dir)
			checked := 0
			for pattern, want := range patterns {
				files, err := filepath.Glob(filepath.Join(dir, pattern))
				is.NoErr(err)
				is.Equal(len(files), want)
				checked += len(files)
				for _, file := range files {
					got := run(t, "config", "check", "--files", file)
					is.Equal(got.status, cli.ExitOK)
					is.True(strings.Contains(got.stdout, "good settings"))
				}
			}
			all, err := filepath.Glob(filepath.Join(dir, "*.ini"))
			is.NoErr(err)
			is.Equal(len(all), checked) // no settings file was left out
		})
	}
}

// issueExampleKeys issues the same keys as issue-keys.sh.
func issueExampleKeys(t *testing.T, dir string) {
	t.Helper()
	is := is.New(t)
	keys := filepath.Join(dir, "keys")
	expect(t, cli.ExitOK, "keys", "init", keys)
	files, err := filepath.Glob(filepath.Join(dir, "*-*.ini"))
	is.NoErr(err)
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".ini")
		role, _, _ := strings.Cut(name, "-")
		args := []string{"keys", "issue", keys, role, name}
		if role == "agent" {
			service := strings.Split(name, "-")[1]
			args = append(args, "--service", service)
			expect(t, cli.ExitOK, "keys", "issue", keys, "caller", "--service", service)
		}
		expect(t, cli.ExitOK, args...)
	}
}

// One deployment gives more weight to broken flows, the other to imbalance.
func TestExamplePolicyWeights(t *testing.T) {
	is := is.New(t)
	for site, favorsFlows := range map[string]bool{"registry": true, "towarzysz": false} {
		file := filepath.Join(examples, site, "experiment.ini")
		_, err := experiment.LoadSite(file)
		is.NoErr(err)
		patch, err := settings.LoadPatch(filepath.Join(examples, site, "services.ini"))
		is.NoErr(err)
		for _, op := range patch.GetOperations() {
			policy := op.GetPutService().GetPolicy()
			is.Equal(policy.GetBrokenFlowWeight() > policy.GetImbalanceWeight(), favorsFlows)
			is.True(policy.GetBrokenFlowWeight() > 0 && policy.GetImbalanceWeight() > 0)
		}
	}
}

func TestConfigCheckOfAPatch(t *testing.T) {
	is := is.New(t)
	bad := write(t, "[service lodgement]\naddresses = 192.0.2.80:443\nslots = 4\nimbalance_weight = -1\n")
	got := run(t, "config", "check", bad)
	is.Equal(got.status, cli.ExitFailure)
	is.True(strings.Contains(got.stdout, bad+":4: service lodgement.imbalance_weight: "))
}

func TestExperimentUsage(t *testing.T) {
	expect(t, cli.ExitUsage, "experiment")
	file := filepath.Join(examples, "registry", "experiment.ini")
	expect(t, cli.ExitUsage, "experiment", file, "--scenario", "storm")
	expect(t, cli.ExitFailure, "experiment", "no-such-file.ini")
}
