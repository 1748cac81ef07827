package cli

import (
	"fmt"
	"strings"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"eelgrasswharf.example/eelgrasswharf/internal/keys"
	"eelgrasswharf.example/eelgrasswharf/internal/operator"
)

// operatorExample is a value of the operatorFlags for the examples of commands.
const operatorExample = "--control 192.0.2.1:7101,192.0.2.2:7101 \\\n    --authority keys/authority.pem --certificate keys/ada.pem --key keys/ada.key.pem"

// operatorFlags are the control hosts that a command calls and the operator's
// credentials.
type operatorFlags struct {
	control                     []string
	authority, certificate, key string
}

func (o *operatorFlags) add(cmd *cobra.Command) {
	f := cmd.Flags()
	f.StringSliceVar(&o.control, "control", nil, "operator `ADDRESSES` (ip:port) of the control hosts, comma-separated")
	f.StringVar(&o.authority, "authority", "", "certificate authority `FILE` (PEM)")
	f.StringVar(&o.certificate, "certificate", "", "operator certificate `FILE` (PEM)")
	f.StringVar(&o.key, "key", "", "private key `FILE` of the operator (PEM)")
	requireFlags(cmd, "control", "authority", "certificate", "key")
}

// args returns the flags as a part of a command line.
func (o *operatorFlags) args() string {
	return fmt.Sprintf("--control %s --authority %s --certificate %s --key %s",
		strings.Join(o.control, ","), quote(o.authority), quote(o.certificate), quote(o.key))
}

// call runs do with a client and maps its error to an exit status.
func (o *operatorFlags) call(cmd *cobra.Command, do func(*operator.Client) error) error {
	creds, err := keys.Load(keys.Files{Authority: o.authority, Certificate: o.certificate, PrivateKey: o.key})
	if err != nil {
		return err
	}
	client := operator.NewClient(o.control, creds)
	defer client.Close()
	err = do(client)
	if errors.Is(err, operator.ErrOutcomeUnknown) {
		return exitWith(ExitUnknown, err)
	}
	return err
}
