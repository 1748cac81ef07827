package settings

import (
	"fmt"
	"strings"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/descriptorpb"

	"eelgrasswharf.example/eelgrasswharf/api/settingspb"
)

// Example returns a settings file of the role, generated from the schema: every key with its
// comment, required keys with a sample value, the others commented out with their default.
// Check accepts the file. For an unknown role it returns ErrUnknownRole.
func Example(role Role) (string, error) {
	m, err := NewMessage(role)
	if err != nil {
		return "", err
	}
	file, err := sourceFile(settingspb.File_settingspb_settings_proto.Path())
	if err != nil {
		return "", err
	}
	// Only the embedded descriptor includes comments.
	root := file.Messages().ByName(m.ProtoReflect().Descriptor().Name())
	var b strings.Builder
	fmt.Fprintf(&b, "# Settings of the role %s.\n# Relative paths start at the folder of this file.\n", role)
	sections := root.Fields()
	for i := range sections.Len() {
		s := sections.Get(i)
		fmt.Fprintf(&b, "\n[%s]\n", s.Name())
		keys := s.Message().Fields()
		for j := range keys.Len() {
			writeKey(&b, role, keys.Get(j))
		}
	}
	return b.String(), nil
}

func writeKey(b *strings.Builder, role Role, f protoreflect.FieldDescriptor) {
	comment := f.ParentFile().SourceLocations().ByDescriptor(f).LeadingComments
	for _, line := range strings.Split(strings.TrimSpace(comment), "\n") {
		fmt.Fprintf(b, "# %s\n", strings.TrimSpace(line))
	}
	r := ruleOf(f)
	if r.example != "" {
		value := strings.ReplaceAll(r.example, "NAME", string(role)+"-1")
		fmt.Fprintf(b, "%s = %s\n", f.Name(), value)
		return
	}
	fmt.Fprintf(b, ";%s = %s\n", f.Name(), displayDefault(f, r))
}

// displayDefault returns the default in file syntax.
func displayDefault(f protoreflect.FieldDescriptor, r rule) string {
	switch {
	case r.defaultValue != "":
		return r.defaultValue
	case f.Kind() == protoreflect.EnumKind:
		return enumNames(f.Enum())[0]
	case f.Kind() == protoreflect.BoolKind:
		return "false"
	}
	return ""
}

// sourceFile parses the embedded descriptor of a schema.
func sourceFile(path string) (protoreflect.FileDescriptor, error) {
	set := &descriptorpb.FileDescriptorSet{}
	if err := proto.Unmarshal(settingspb.SourceDescriptor, set); err != nil {
		return nil, errors.Wrap(err, "embedded settings schema")
	}
	files, err := protodesc.NewFiles(set)
	if err != nil {
		return nil, errors.Wrap(err, "embedded settings schema")
	}
	return files.FindFileByPath(path)
}
