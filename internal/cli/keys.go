package cli

import (
	"fmt"
	"io"
	"net/netip"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"eelgrasswharf.example/eelgrasswharf/internal/keys"
)

func newKeys() *cobra.Command {
	return commandGroup("keys", "Create and inspect keys and certificates",
		`The operator keeps the keys in a folder. Each host gets copies of the files that
its settings name; the authority's private key stays in the folder.`,
		`  eelgrasswharf keys init keys
  eelgrasswharf keys issue keys control control-1
  eelgrasswharf keys issue keys agent agent-1 --service lodgement
  eelgrasswharf keys issue keys caller --service lodgement
  eelgrasswharf keys issue keys operator ada`,
		newKeysInit(), newKeysIssue(), newKeysSecret(), newKeysAuthority(), newKeysInspect())
}

func newKeysInit() *cobra.Command {
	return keyDirCommand(&cobra.Command{
		Use:     "init FOLDER",
		Short:   "Create an authority and the first data secret",
		Long:    "Creates the certificate authority and the first data secret of a deployment. It never overwrites an authority.",
		Example: "  eelgrasswharf keys init keys",
	}, func(dir string) (keyReport, string, error) {
		return keyReport{Folder: dir}, "authority and data secret created in " + dir, keys.InitAuthority(dir)
	})
}

// keyDirCommand completes a command that changes a key directory. change returns
// its report and the same as text.
func keyDirCommand(cmd *cobra.Command, change func(dir string) (keyReport, string, error)) *cobra.Command {
	var asJSON bool
	cmd.Args = exactArgs(1)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		report, text, err := change(args[0])
		if err != nil {
			return err
		}
		return writeKeyReport(cmd.OutOrStdout(), asJSON, report, text)
	}
	jsonFlag(cmd, &asJSON)
	return cmd
}

// keyReport is the JSON form of the result of a keys command.
type keyReport struct {
	Folder      string `json:"folder,omitempty"`
	Certificate string `json:"certificate,omitempty"`
	PrivateKey  string `json:"private_key,omitempty"`
	SecretID    *uint8 `json:"secret_id,omitempty"`
}

// writeKeyReport writes the result of a keys command.
func writeKeyReport(w io.Writer, asJSON bool, report keyReport, text string) error {
	if asJSON {
		return writeJSON(w, report)
	}
	_, err := fmt.Fprintln(w, text)
	return err
}

func newKeysIssue() *cobra.Command {
	var service string
	var ips []string
	var valid time.Duration
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "issue FOLDER ROLE [NAME]",
		Short: "Sign a certificate",
		Long: `Signs a certificate with the authority of the folder and writes it there,
replacing an older one of the same name. Roles are control, entry, agent,
operator and caller. An agent's certificate names its service. A caller
certificate is the one that agents present to callers; it has a service instead
of a name.`,
		Example: `  eelgrasswharf keys issue keys entry entry-1
  eelgrasswharf keys issue keys agent agent-1 --service lodgement
  eelgrasswharf keys issue keys caller --service lodgement --ip 192.0.2.80`,
		Args: usageArgs(cobra.RangeArgs(2, 3)),
		RunE: func(cmd *cobra.Command, args []string) error {
			role, err := keys.ParseRole(args[1])
			if err != nil {
				return usageError(err)
			}
			name := ""
			if len(args) == 3 {
				name = args[2]
			}
			addrs, err := parseIPs(ips)
			if err != nil {
				return usageError(err)
			}
			files, err := keys.Issue(args[0], role, name, service, addrs, valid)
			if err != nil {
				return err
			}
			report := keyReport{Certificate: files.Certificate, PrivateKey: files.PrivateKey}
			return writeKeyReport(cmd.OutOrStdout(), asJSON, report, files.Certificate+"\n"+files.PrivateKey)
		},
	}
	cmd.Flags().StringVar(&service, "service", "", "`SERVICE` of an agent or caller certificate")
	cmd.Flags().StringSliceVar(&ips, "ip", nil, "IP `ADDRESSES` of the certificate, comma-separated")
	cmd.Flags().DurationVar(&valid, "valid", keys.DefaultValidity, "validity period")
	jsonFlag(cmd, &asJSON)
	return cmd
}

func parseIPs(texts []string) ([]netip.Addr, error) {
	var out []netip.Addr
	for _, text := range texts {
		ip, err := netip.ParseAddr(text)
		if err != nil {
			return nil, errors.Wrapf(err, "--ip %q", text)
		}
		out = append(out, ip)
	}
	return out, nil
}

func newKeysSecret() *cobra.Command {
	return commandGroup("secret", "Replace the data secrets step by step",
		`Data secrets protect connection IDs and frames. Every process decodes with all
secrets of its file and encodes with the first. To replace one: add a new
secret and copy the file to every host; prefer the new one and copy again; once
the flows of the old one have ended, remove it and copy again.`,
		`  eelgrasswharf keys secret add keys
  eelgrasswharf keys secret prefer keys 1
  eelgrasswharf keys secret remove keys 0`,
		newSecretAdd(),
		newSecretEdit("prefer", "Encode with a secret from now on", keys.PreferDataSecret),
		newSecretEdit("remove", "Remove a secret; flows that need it are lost", keys.RemoveDataSecret))
}

func newSecretAdd() *cobra.Command {
	return keyDirCommand(&cobra.Command{
		Use:     "add FOLDER",
		Short:   "Add a secret used for decoding only",
		Long:    "Adds a data secret and prints its ID. It is used for decoding only until it is preferred.",
		Example: "  eelgrasswharf keys secret add keys",
	}, func(dir string) (keyReport, string, error) {
		id, err := keys.AddDataSecret(dir)
		return keyReport{Folder: dir, SecretID: &id}, strconv.Itoa(int(id)), err
	})
}

func newSecretEdit(verb, short string, edit func(dir string, id uint8) error) *cobra.Command {
	var asJSON bool
	cmd := &cobra.Command{
		Use:     verb + " FOLDER ID",
		Short:   short,
		Long:    short + ".",
		Example: "  eelgrasswharf keys secret " + verb + " keys 1",
		Args:    exactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			n, err := strconv.ParseUint(args[1], 10, 8)
			if err != nil {
				return usageError(errors.Errorf("%q is not the ID of a secret", args[1]))
			}
			id := uint8(n)
			if err := edit(args[0], id); err != nil {
				return err
			}
			return writeKeyReport(cmd.OutOrStdout(), asJSON, keyReport{Folder: args[0], SecretID: &id}, "done")
		},
	}
	jsonFlag(cmd, &asJSON)
	return cmd
}

func newKeysInspect() *cobra.Command {
	var asJSON bool
	cmd := &cobra.Command{
		Use:     "inspect FILE...",
		Short:   "Show the contents of key files",
		Long:    "Shows the subject and expiry of each certificate and the IDs of data secrets. It never prints a secret.",
		Example: "  eelgrasswharf keys inspect keys/*.pem keys/data-secrets",
		Args:    minArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			all := map[string][]keys.Inspection{}
			for _, path := range args {
				inspections, err := keys.InspectFile(path)
				if err != nil {
					return err
				}
				all[path] = inspections
				if !asJSON {
					writeInspections(cmd.OutOrStdout(), path, inspections)
				}
			}
			if asJSON {
				return writeJSON(cmd.OutOrStdout(), all)
			}
			return nil
		},
	}
	jsonFlag(cmd, &asJSON)
	return cmd
}

func writeInspections(w io.Writer, path string, inspections []keys.Inspection) {
	for _, i := range inspections {
		switch i.Kind {
		case keys.KindDataSecrets:
			fmt.Fprintf(w, "%s: %s, IDs %v, the first encodes\n", path, i.Kind, i.SecretIDs)
		case keys.KindPrivateKey:
			fmt.Fprintf(w, "%s: %s\n", path, i.Kind)
		case keys.KindProcess:
			fmt.Fprintf(w, "%s: %s of %s, until %s\n", path, i.Kind, i.Identity, i.NotAfter.Format(time.RFC3339))
		default:
			fmt.Fprintf(w, "%s: %s %s %v, until %s\n", path, i.Kind, i.Subject, i.DNSNames, i.NotAfter.Format(time.RFC3339))
		}
	}
}
