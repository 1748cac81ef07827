package settings

import (
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/reflect/protoreflect"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
)

func TestPageIsCurrent(t *testing.T) {
	is := is.New(t)
	want, err := Markdown()
	is.NoErr(err)
	page, err := os.ReadFile("../../docs/SETTINGS.md")
	is.NoErr(err)
	is.Equal(string(page), want) // else: go generate ./internal/settings
}

func TestPageHasEveryKey(t *testing.T) {
	is := is.New(t)
	page, err := Markdown()
	is.NoErr(err)
	forEachField(t, func(f protoreflect.FieldDescriptor) {
		is.True(strings.Contains(page, "| `"+string(f.Name())+"` | ")) // has a row
		is.True(comment(f) != "")                                      // with a comment
	})
	for _, key := range serviceKeys(&configpb.Service{Policy: &configpb.Policy{}}) {
		is.True(strings.Contains(page, "| `"+key+"` | "))
	}
	is.True(!strings.Contains(page, "|  |  |"))
}

func TestSplitDefault(t *testing.T) {
	is := is.New(t)
	for text, want := range map[string][2]string{
		"Time. Default 50.":             {"Time.", "50"},
		"Address. Default: the opened.": {"Address.", "the opened"},
		"Folder for durable state.":     {"Folder for durable state.", ""},
	} {
		meaning, fallback := splitDefault(text)
		is.Equal([2]string{meaning, fallback}, want)
	}
}
