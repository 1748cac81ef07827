package settings

import (
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/reflect/protoreflect"

	"eelgrasswharf.example/eelgrasswharf/api/settingspb"
)

// forEachField calls visit for every key of every role.
func forEachField(t *testing.T, visit func(protoreflect.FieldDescriptor)) {
	t.Helper()
	is := is.New(t)
	file, err := sourceFile(settingspb.File_settingspb_settings_proto.Path())
	is.NoErr(err)
	for _, role := range Roles() {
		m, err := NewMessage(role)
		is.NoErr(err)
		sections := file.Messages().ByName(m.ProtoReflect().Descriptor().Name()).Fields()
		for i := range sections.Len() {
			keys := sections.Get(i).Message().Fields()
			for j := range keys.Len() {
				visit(keys.Get(j))
			}
		}
	}
}

func TestRulesMatchSchemaFields(t *testing.T) {
	is := is.New(t)
	known := map[protoreflect.FullName]bool{}
	forEachField(t, func(f protoreflect.FieldDescriptor) {
		known[protoreflect.FullName(f.Parent().Name()).Append(f.Name())] = true
	})
	for name := range rules {
		is.True(known[name]) // rule without a field
	}
}

func TestDefaultsMatchSchemaComments(t *testing.T) {
	is := is.New(t)
	stated := regexp.MustCompile(`Default (\w+)\.`)
	forEachField(t, func(f protoreflect.FieldDescriptor) {
		comment := f.ParentFile().SourceLocations().ByDescriptor(f).LeadingComments
		is.True(strings.TrimSpace(comment) != "") // key without a comment
		want := ""
		if match := stated.FindStringSubmatch(comment); match != nil {
			want = match[1]
		}
		is.Equal(ruleOf(f).defaultValue, want) // default of the comment
	})
}

func TestEmbeddedSchemaIsCurrent(t *testing.T) {
	is := is.New(t)
	forEachField(t, func(f protoreflect.FieldDescriptor) {
		generated := false
		for _, role := range Roles() {
			m, err := NewMessage(role)
			is.NoErr(err)
			sections := m.ProtoReflect().Descriptor().Fields()
			for i := range sections.Len() {
				g := sections.Get(i).Message().Fields().ByName(f.Name())
				if g != nil && g.FullName() == f.FullName() && g.Number() == f.Number() && g.Kind() == f.Kind() {
					generated = true
				}
			}
		}
		is.True(generated) // run go generate ./api
	})
}

func TestDistance(t *testing.T) {
	is := is.New(t)
	is.Equal(distance("kitten", "sitting"), 3)
	is.Equal(distance("", "abc"), 3)
	is.Equal(distance("abc", "abc"), 0)
}
