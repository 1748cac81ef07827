package processtest

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

const fileMode = 0o600

// writeSettings writes a settings message as INI.
func writeSettings(t testing.TB, path string, settings proto.Message) {
	t.Helper()
	var b strings.Builder
	settings.ProtoReflect().Range(func(f protoreflect.FieldDescriptor, v protoreflect.Value) bool {
		fmt.Fprintf(&b, "[%s]\n", f.Name())
		v.Message().Range(func(f protoreflect.FieldDescriptor, v protoreflect.Value) bool {
			fmt.Fprintf(&b, "%s = %s\n", f.Name(), settingText(f, v))
			return true
		})
		return true
	})
	if err := os.WriteFile(path, []byte(b.String()), fileMode); err != nil {
		t.Fatal(err)
	}
}

func settingText(f protoreflect.FieldDescriptor, v protoreflect.Value) string {
	if !f.IsList() {
		return v.String()
	}
	var items []string
	for i := range v.List().Len() {
		items = append(items, v.List().Get(i).String())
	}
	return strings.Join(items, ", ")
}
