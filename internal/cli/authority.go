package cli

import (
	"github.com/spf13/cobra"

	"eelgrasswharf.example/eelgrasswharf/internal/keys"
)

func newKeysAuthority() *cobra.Command {
	return group("authority", "Replace the certificate authority step by step",
		`Every process trusts all authorities of its authority file. To replace the
authority: add a new one and copy authority.pem to every process and caller;
prefer the new one, issue every certificate anew and copy them; remove the former
one and copy authority.pem again. Processes read changed files by themselves.`,
		`  eelgrasswharf keys authority add keys
  eelgrasswharf keys authority prefer keys
  eelgrasswharf keys authority remove keys`,
		newAuthorityStep("add", "Add an authority that is trusted and does not sign yet",
			"authority added", keys.AddAuthority),
		newAuthorityStep("prefer", "Sign with the added authority; the former private key is dropped",
			"the added authority signs from now on", keys.PreferAuthority),
		newAuthorityStep("remove", "Trust the former authority no longer",
			"former authority removed", keys.RemoveAuthority))
}

func newAuthorityStep(verb, short, text string, step func(dir string) error) *cobra.Command {
	return folderCommand(&cobra.Command{
		Use:     verb + " FOLDER",
		Short:   short,
		Long:    short + ".\n\nThe steps are add, prefer, remove; one out of order fails and changes nothing.",
		Example: "  eelgrasswharf keys authority " + verb + " keys",
	}, func(dir string) (keyReport, string, error) { return keyReport{Folder: dir}, text, step(dir) })
}
