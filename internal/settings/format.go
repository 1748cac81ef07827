package settings

import (
	"fmt"
	"strings"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
)

// Format returns the settings message of a role as a settings file without unset keys.
func Format(m proto.Message) string {
	var b strings.Builder
	root := m.ProtoReflect()
	sections := root.Descriptor().Fields()
	for i := range sections.Len() {
		section := sections.Get(i)
		if !root.Has(section) {
			continue
		}
		fmt.Fprintf(&b, "[%s]\n", section.Name())
		writeKeys(&b, root.Get(section).Message())
	}
	return b.String()
}

func writeKeys(b *strings.Builder, m protoreflect.Message) {
	keys := m.Descriptor().Fields()
	for i := range keys.Len() {
		key := keys.Get(i)
		if m.Has(key) {
			fmt.Fprintf(b, "%s = %s\n", key.Name(), formatValue(key, m.Get(key)))
		}
	}
}

// FormatService returns a service as the section of a patch file that creates it, without
// unset keys.
func FormatService(s *configpb.Service) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[%s %s]\n", putPrefix, s.GetName())
	for _, m := range []protoreflect.Message{s.ProtoReflect(), s.GetPolicy().ProtoReflect()} {
		fields := m.Descriptor().Fields()
		for i := range fields.Len() {
			f := fields.Get(i)
			if managedFields[f.Name()] || !m.Has(f) {
				continue
			}
			fmt.Fprintf(&b, "%s = %s\n", f.Name(), formatValue(f, m.Get(f)))
		}
	}
	return b.String()
}

func formatValue(f protoreflect.FieldDescriptor, v protoreflect.Value) string {
	if f.IsList() {
		var parts []string
		for i := range v.List().Len() {
			parts = append(parts, v.List().Get(i).String())
		}
		return strings.Join(parts, ", ")
	}
	if f.Kind() == protoreflect.EnumKind {
		value := f.Enum().Values().ByNumber(v.Enum())
		if value == nil {
			return fmt.Sprint(v.Enum())
		}
		return enumNames(f.Enum())[value.Index()]
	}
	return v.String()
}
