package settings

import (
	"fmt"
	"strings"

	"google.golang.org/protobuf/reflect/protoreflect"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
	"eelgrasswharf.example/eelgrasswharf/api/settingspb"
)

const (
	pageIntro = `# Settings

Generated from the schemas; ` + "`go generate ./internal/settings`" + ` writes it anew.

Files are INI: sections in brackets, ` + "`key = value`" + `, comments after ` + "`#` or `;`" + ` at the
start of a line. Lists are separated by commas. Relative paths start at the folder
of the file. Files are read at the start only, but for the keys and certificates
that they name, which are read again when they change. ` + "`config check FILE`" + ` reports
every finding at once; ` + "`config example ROLE`" + ` prints a file to start from.
`
	patchIntro = `
## Patches

A section ` + "`[service NAME]`" + ` creates or replaces a service and has these keys, a
section ` + "`[remove NAME]`" + ` removes a service, a section ` + "`[release IP:PORT]`" + ` closes a
retired public address; the last two have no keys.

`
	tableHead = "| Key | Meaning | Default |\n|---|---|---|\n"
)

// Markdown returns the operators' page of all settings.
func Markdown() (string, error) {
	file, err := sourceFile(settingspb.File_settingspb_settings_proto.Path())
	if err != nil {
		return "", err
	}
	var b strings.Builder
	b.WriteString(pageIntro)
	for _, role := range Roles() {
		m, err := NewMessage(role)
		if err != nil {
			return "", err
		}
		fmt.Fprintf(&b, "\n## Role %s\n", role)
		root := file.Messages().ByName(m.ProtoReflect().Descriptor().Name())
		for i := range root.Fields().Len() {
			section := root.Fields().Get(i)
			fmt.Fprintf(&b, "\n### %s: [%s]\n\n%s", role, section.Name(), tableHead)
			writeRows(&b, section.Message())
		}
	}
	if err := writePatchKeys(&b); err != nil {
		return "", err
	}
	return b.String(), nil
}

func writePatchKeys(b *strings.Builder) error {
	file, err := sourceFile(configpb.File_configpb_config_proto.Path())
	if err != nil {
		return err
	}
	b.WriteString(patchIntro + tableHead)
	for _, name := range []protoreflect.Name{"Service", "Policy"} {
		writeRows(b, file.Messages().ByName(name))
	}
	return nil
}

func writeRows(b *strings.Builder, section protoreflect.MessageDescriptor) {
	for i := range section.Fields().Len() {
		f := section.Fields().Get(i)
		if section.Name() == "Service" && managedFields[f.Name()] {
			continue
		}
		text, defaultValue := splitDefault(comment(f))
		r := ruleOf(f)
		switch {
		case r.required:
			defaultValue = "required"
		case defaultValue == "":
			defaultValue = displayDefault(f, r)
		}
		fmt.Fprintf(b, "| `%s` | %s | %s |\n", f.Name(), strings.ReplaceAll(text, "|", "\\|"), defaultValue)
	}
}

// comment returns the schema comment of a key as one line.
func comment(f protoreflect.FieldDescriptor) string {
	lines := f.ParentFile().SourceLocations().ByDescriptor(f).LeadingComments
	return strings.Join(strings.Fields(lines), " ")
}

// splitDefault splits the sentence about the default from a comment.
func splitDefault(text string) (meaning, defaultValue string) {
	before, after, found := strings.Cut(text, " Default")
	if !found {
		return text, ""
	}
	return before, strings.TrimSuffix(strings.TrimLeft(after, ": "), ".")
}
