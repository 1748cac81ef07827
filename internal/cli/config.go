package cli

import (
	"fmt"
	"io"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
	"eelgrasswharf.example/eelgrasswharf/internal/operator"
	"eelgrasswharf.example/eelgrasswharf/internal/settings"
)

// rolePatch is the role of patch files, which no daemon reads.
const rolePatch = "patch"

func newConfig() *cobra.Command {
	return commandGroup("config", "Check settings files and show the configuration",
		"Checks settings files, prints examples of them, and shows versions of the configuration.",
		"  eelgrasswharf config example agent > agent.ini\n  eelgrasswharf config check agent.ini",
		newConfigCheck(), newConfigExample(), newConfigShow())
}

func newConfigCheck() *cobra.Command {
	var roleName string
	var files, asJSON bool
	cmd := &cobra.Command{
		Use:   "check FILE",
		Short: "Report all errors of a settings file",
		Long: `Checks a settings file and reports every finding as "file:line: section.key:
what is wrong". The role is inferred from the sections unless --role names it.

A patch file is checked as a patch against an empty configuration. Sections
[remove NAME] and [release IP:PORT] are checked for syntax only, since their
validity depends on the version.

Without --files the files that the settings name are not opened, so that settings
for another host can be checked here.`,
		Example: `  eelgrasswharf config check entry.ini
  eelgrasswharf config check --files --role control /etc/eelgrasswharf/control.ini`,
		Args: exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if roleName == "" && settings.IsPatch(args[0]) {
				roleName = rolePatch
			}
			role, err := checkFile(args[0], settings.Role(roleName), files)
			if asJSON {
				return writeCheck(cmd.OutOrStdout(), role, err)
			}
			var findings settings.Findings
			if errors.As(err, &findings) {
				fmt.Fprintln(cmd.OutOrStdout(), findings)
				return exitWith(ExitFailure, nil)
			}
			if err == nil {
				fmt.Fprintf(cmd.OutOrStdout(), "%s: good settings of the role %s\n", args[0], role)
			}
			return err
		},
	}
	cmd.Flags().StringVar(&roleName, "role", "", "`ROLE` of the file: control, entry, agent, experiment or patch")
	cmd.Flags().BoolVar(&files, "files", false, "also check that the named files can be used on this host")
	jsonFlag(cmd, &asJSON)
	return cmd
}

func checkFile(path string, role settings.Role, files bool) (settings.Role, error) {
	if role == rolePatch {
		return role, settings.CheckPatch(path)
	}
	if role == "" {
		detected, err := settings.DetectRole(path)
		if err != nil {
			return "", err
		}
		role = detected
	}
	m, err := settings.NewMessage(role)
	if err != nil {
		return role, usageError(err)
	}
	if files {
		return role, settings.Load(path, m)
	}
	return role, settings.Check(path, m)
}

// checkReport is the JSON form of the result of config check.
type checkReport struct {
	Role     settings.Role `json:"role"`
	Findings []finding     `json:"findings"`
}

func writeCheck(w io.Writer, role settings.Role, err error) error {
	var findings settings.Findings
	if err != nil && !errors.As(err, &findings) {
		return err
	}
	report := checkReport{Role: role, Findings: findingsOf(findings)}
	if err := writeJSON(w, report); err != nil {
		return err
	}
	if len(findings) > 0 {
		return exitWith(ExitFailure, nil)
	}
	return nil
}

func newConfigExample() *cobra.Command {
	return &cobra.Command{
		Use:       "example ROLE",
		Short:     "Print an example settings file",
		Long:      "Prints an example settings file of the role control, entry, agent or experiment with a comment for every key.",
		Example:   "  eelgrasswharf config example control > control.ini",
		ValidArgs: []string{string(settings.RoleControl), string(settings.RoleEntry), string(settings.RoleAgent), string(settings.RoleExperiment)},
		Args:      exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			text, err := settings.Example(settings.Role(args[0]))
			if errors.Is(err, settings.ErrUnknownRole) {
				return usageError(err)
			}
			if err != nil {
				return err
			}
			_, err = io.WriteString(cmd.OutOrStdout(), text)
			return err
		},
	}
}

func newConfigShow() *cobra.Command {
	var version uint64
	var asJSON bool
	o := &operatorFlags{}
	cmd := &cobra.Command{
		Use:   "show",
		Short: "Show a version of the configuration",
		Long: `Shows the current version of the configuration, or the one that --version
names. A version that no quorum confirmed as the newest is marked.`,
		Example: "  eelgrasswharf config show " + operatorExample + "\n  eelgrasswharf config show --version 12 --json " + operatorExample,
		Args:    noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return o.call(cmd, func(c *operator.Client) error {
				cfg, confirmed, err := c.Config(cmd.Context(), version)
				if err != nil {
					return err
				}
				if asJSON {
					return writeConfigJSON(cmd.OutOrStdout(), cfg, confirmed)
				}
				return writeConfig(cmd.OutOrStdout(), cfg, confirmed)
			})
		},
	}
	cmd.Flags().Uint64Var(&version, "version", 0, "version `N`; 0 is the current one")
	jsonFlag(cmd, &asJSON)
	o.add(cmd)
	return cmd
}

func writeConfigJSON(w io.Writer, cfg *configpb.Configuration, confirmed bool) error {
	raw, err := marshal(cfg)
	if err != nil {
		return err
	}
	return writeJSON(w, struct {
		Confirmed     bool    `json:"confirmed"`
		Configuration rawJSON `json:"configuration"`
	}{confirmed, raw})
}

// marshal encodes a message as JSON with the field names of its schema.
func marshal(m proto.Message) (rawJSON, error) {
	return protojson.MarshalOptions{UseProtoNames: true, EmitDefaultValues: true}.Marshal(m)
}

// writeConfig writes a configuration as a patch file that can be edited and submitted.
func writeConfig(w io.Writer, cfg *configpb.Configuration, confirmed bool) error {
	fmt.Fprintf(w, "# version %d\n", cfg.GetVersion())
	if !confirmed {
		fmt.Fprintln(w, "# no quorum confirmed that this is the newest version")
	}
	for _, s := range cfg.GetServices() {
		fmt.Fprintf(w, "\n%s", settings.FormatService(s))
	}
	// Commented out: submitting the file again must not release the addresses.
	if len(cfg.GetRetired()) > 0 {
		fmt.Fprintln(w, "\n# retired addresses, open for established flows until a patch releases them:")
	}
	for _, address := range cfg.GetRetired() {
		fmt.Fprintf(w, "# [release %s]\n", address)
	}
	return nil
}
