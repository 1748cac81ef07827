package cli

import (
	"github.com/spf13/cobra"

	"eelgrasswharf.example/eelgrasswharf/internal/keys"
)

func newKeysAuthority() *cobra.Command {
	return commandGroup("authority", "Replace the certificate authority step by step",
		`Every process trusts all authorities of its authority file. To replace the
authority: add a new one and copy authority.pem to every process and caller;
prefer the new one, reissue every certificate and copy them; remove the old one
and copy authority.pem again. Processes reload changed files automatically.`,
		`  eelgrasswharf keys authority add keys
  eelgrasswharf keys authority prefer keys
  eelgrasswharf keys authority remove keys`,
		newAuthorityStep("add", "Add an authority that is trusted but does not sign yet",
			"authority added", keys.AddAuthority),
		newAuthorityStep("prefer", "Sign with the added authority and delete the old private key",
			"the added authority signs from now on", keys.PreferAuthority),
		newAuthorityStep("remove", "Stop trusting the old authority",
			"old authority removed", keys.RemoveAuthority))
}

func newAuthorityStep(verb, short, text string, step func(dir string) error) *cobra.Command {
	return keyDirCommand(&cobra.Command{
		Use:     verb + " FOLDER",
		Short:   short,
		Long:    short + ".\n\nThe steps are add, prefer, remove. A step out of order fails and changes nothing.",
		Example: "  eelgrasswharf keys authority " + verb + " keys",
	}, func(dir string) (keyReport, string, error) { return keyReport{Folder: dir}, text, step(dir) })
}
