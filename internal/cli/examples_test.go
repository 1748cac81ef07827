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

// exampleFiles are what each example has to hold.
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
			folder := filepath.Join(t.TempDir(), site)
			is.NoErr(os.CopyFS(folder, os.DirFS(filepath.Join(examples, site))))
			issueExampleKeys(t, folder)
			known := 0
			for pattern, want := range patterns {
				files, err := filepath.Glob(filepath.Join(folder, pattern))
				is.NoErr(err)
				is.Equal(len(files), want)
				known += len(files)
				for _, file := range files {
					got := run(t, "config", "check", "--files", file)
					is.Equal(got.status, cli.ExitOK)
					is.True(strings.Contains(got.stdout, "good settings"))
				}
			}
			all, err := filepath.Glob(filepath.Join(folder, "*.ini"))
			is.NoErr(err)
			is.Equal(len(all), known) // none is left unchecked
		})
	}
}

// issueExampleKeys does what issue-keys.sh does.
func issueExampleKeys(t *testing.T, folder string) {
	t.Helper()
	is := is.New(t)
	keys := filepath.Join(folder, "keys")
	expect(t, cli.ExitOK, "keys", "init", keys)
	files, err := filepath.Glob(filepath.Join(folder, "*-*.ini"))
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

// The two deployments weigh the two measures the other way round.
func TestExamplesWeighTheirOwnMeasureMore(t *testing.T) {
	is := is.New(t)
	for site, ownIsBroken := range map[string]bool{"registry": true, "towarzysz": false} {
		file := filepath.Join(examples, site, "experiment.ini")
		_, err := experiment.LoadSite(file)
		is.NoErr(err)
		patch, err := settings.LoadPatch(filepath.Join(examples, site, "services.ini"))
		is.NoErr(err)
		for _, op := range patch.GetOperations() {
			policy := op.GetPutService().GetPolicy()
			is.Equal(policy.GetBrokenFlowWeight() > policy.GetImbalanceWeight(), ownIsBroken)
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
