// Command generate generates the Go code of every schema below api/, and the settings
// descriptors with comments, used for example files and documentation. It invokes the Go
// plugin, a tool of go.mod, as protoc does.
//
//	go run ./internal/generate (in the directory api)
package main

import (
	"bytes"
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"slices"

	"github.com/bufbuild/protocompile"
	"github.com/go-faster/errors"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/pluginpb"
)

const (
	// pluginParameter makes the plugin write relative to the module's root.
	pluginParameter = "module=eelgrasswharf.example/eelgrasswharf"
	// descriptorFile is the file of the schemas with their comments.
	descriptorFile = "settingspb/settings.binpb"
)

// documentedSchemas lists the schemas whose comments are kept.
var documentedSchemas = []string{"configpb/config.proto", "settingspb/settings.proto"}

func main() {
	log := zap.Must(zap.NewDevelopment())
	if err := generate(context.Background()); err != nil {
		log.Fatal("code not generated", zap.Error(err))
	}
}

func generate(ctx context.Context) error {
	schemas, err := filepath.Glob("*/*.proto")
	if err != nil {
		return errors.Wrap(err, "list schemas")
	}
	compiler := protocompile.Compiler{
		Resolver:       protocompile.WithStandardImports(&protocompile.SourceResolver{ImportPaths: []string{"."}}),
		SourceInfoMode: protocompile.SourceInfoStandard,
	}
	files, err := compiler.Compile(ctx, schemas...)
	if err != nil {
		return errors.Wrap(err, "compile schemas")
	}
	var all schemaList
	for _, f := range files {
		all.add(f)
	}
	if err := all.writeDescriptors(); err != nil {
		return err
	}
	return all.writeCode(ctx, schemas)
}

// schemaList is a list of schemas in which each one follows its imports.
type schemaList struct {
	files []*descriptorpb.FileDescriptorProto
	seen  map[string]bool
}

func (c *schemaList) add(f protoreflect.FileDescriptor) {
	if c.seen[f.Path()] {
		return
	}
	if c.seen == nil {
		c.seen = map[string]bool{}
	}
	c.seen[f.Path()] = true
	imports := f.Imports()
	for i := range imports.Len() {
		c.add(imports.Get(i).FileDescriptor)
	}
	c.files = append(c.files, protodesc.ToFileDescriptorProto(f))
}

// writeDescriptors writes the schemas with comments.
func (c *schemaList) writeDescriptors() error {
	set := &descriptorpb.FileDescriptorSet{}
	for _, f := range c.files {
		if slices.Contains(documentedSchemas, f.GetName()) {
			set.File = append(set.File, f)
		}
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(set)
	if err != nil {
		return errors.Wrap(err, "encode descriptors")
	}
	if err := os.WriteFile(descriptorFile, data, 0o600); err != nil {
		return errors.Wrap(err, "write descriptors")
	}
	return nil
}

// writeCode runs the plugin and writes the generated code.
func (c *schemaList) writeCode(ctx context.Context, schemas []string) error {
	request, err := proto.Marshal(&pluginpb.CodeGeneratorRequest{
		FileToGenerate: schemas,
		Parameter:      proto.String(pluginParameter),
		ProtoFile:      c.files,
	})
	if err != nil {
		return errors.Wrap(err, "encode request")
	}
	plugin := exec.CommandContext(ctx, "go", "tool", "google.golang.org/protobuf/cmd/protoc-gen-go")
	plugin.Stdin, plugin.Stderr = bytes.NewReader(request), os.Stderr
	output, err := plugin.Output()
	if err != nil {
		return errors.Wrap(err, "run plugin")
	}
	var response pluginpb.CodeGeneratorResponse
	if err := proto.Unmarshal(output, &response); err != nil {
		return errors.Wrap(err, "decode response")
	}
	if response.GetError() != "" {
		return errors.Errorf("plugin: %s", response.GetError())
	}
	for _, f := range response.GetFile() {
		if err := os.WriteFile(filepath.Join("..", f.GetName()), []byte(f.GetContent()), 0o600); err != nil {
			return errors.Wrap(err, "write code")
		}
	}
	return nil
}
