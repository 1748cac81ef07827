package settings

import (
	"os"
	"slices"
	"strings"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/reflect/protoreflect"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
)

// Sections of a patch file.
const (
	putPrefix     = "service"
	removePrefix  = "remove"
	releasePrefix = "release"
)

var operationPrefixes = []string{putPrefix, removePrefix, releasePrefix}

// hiddenFields are fields of a service that the section name or the control
// host sets.
var hiddenFields = map[protoreflect.Name]bool{"number": true, "name": true, "policy": true}

// LoadPatch reads a patch file into operations with their places. A section
// [service NAME] creates or replaces a service; its keys are the fields of
// the service and of its policy. A section [remove NAME] removes one, and
// [release IP:PORT] closes a retired public address. Id and base version are
// left for the caller. The error is Findings, or what kept
// the file from being read.
func LoadPatch(path string) (*configpb.Patch, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read patch")
	}
	return ParsePatch(path, text)
}

// IsPatch tells whether a file is a patch file by its first section.
func IsPatch(path string) bool {
	text, err := os.ReadFile(path)
	if err != nil {
		return false
	}
	sections := parseFile(text, &collector{file: path})
	if len(sections) == 0 {
		return false
	}
	kind, _, _ := strings.Cut(sections[0].name, " ")
	return slices.Contains(operationPrefixes, kind)
}

// ParsePatch is LoadPatch for the text of a file; name stands for the file
// in places and findings.
func ParsePatch(name string, text []byte) (*configpb.Patch, error) {
	c := &collector{file: name}
	patch := &configpb.Patch{}
	sections := parseFile(text, c)
	for _, s := range sections {
		op := parseOperation(s, c)
		if op == nil {
			continue
		}
		patch.Operations = append(patch.Operations, op)
		patch.Places = append(patch.Places, c.place(s.line))
	}
	if len(sections) == 0 && len(c.found) == 0 {
		c.add(1, "the patch has no operation: none of [service NAME], [remove NAME], [release IP:PORT]")
	}
	if err := c.err(); err != nil {
		return nil, err
	}
	return patch, nil
}

func parseOperation(s section, c *collector) *configpb.Operation {
	kind, name, _ := strings.Cut(s.name, " ")
	name = strings.TrimSpace(name)
	if !slices.Contains(operationPrefixes, kind) {
		c.add(s.line, "%s: unknown section, known are [service NAME], [remove NAME] and [release IP:PORT]%s", s.name, hint(kind, operationPrefixes))
		return nil
	}
	if kind == releasePrefix {
		return parseRelease(s, name, c)
	}
	if name == "" {
		c.add(s.line, "%s: the section names no service", s.name)
		return nil
	}
	if fault := checkName(name); fault != "" {
		c.add(s.line, "%s: %q %s", s.name, name, fault)
		return nil
	}
	if kind == removePrefix {
		return parseRemove(s, name, c)
	}
	return parsePut(s, name, c)
}

func parseRemove(s section, name string, c *collector) *configpb.Operation {
	for _, k := range s.keys {
		c.add(k.line, "%s.%s: a section that removes has no keys", s.name, k.name)
	}
	return &configpb.Operation{Body: &configpb.Operation_RemoveService{RemoveService: name}}
}

func parseRelease(s section, address string, c *collector) *configpb.Operation {
	for _, k := range s.keys {
		c.add(k.line, "%s.%s: a section that releases has no keys", s.name, k.name)
	}
	if fault := checkDialAddress(address); fault != "" {
		c.add(s.line, "%s: %q %s", s.name, address, fault)
		return nil
	}
	return &configpb.Operation{Body: &configpb.Operation_ReleaseAddress{ReleaseAddress: address}}
}

func parsePut(s section, name string, c *collector) *configpb.Operation {
	service := &configpb.Service{Name: name, Policy: &configpb.Policy{}}
	known := serviceKeys(service)
	for _, k := range s.keys {
		at := s.name + "." + k.name
		m, field := serviceField(service, protoreflect.Name(k.name))
		if field == nil {
			c.add(k.line, "%s: unknown key%s", at, hint(k.name, known))
			continue
		}
		if err := set(m, field, k.value); err != nil {
			c.add(k.line, "%s: %v", at, err)
			continue
		}
		checkServiceKey(at, k, service, c)
	}
	return &configpb.Operation{Body: &configpb.Operation_PutService{PutService: service}}
}

// serviceField finds a key among the fields of a service and its policy.
func serviceField(s *configpb.Service, name protoreflect.Name) (protoreflect.Message, protoreflect.FieldDescriptor) {
	if hiddenFields[name] {
		return nil, nil
	}
	for _, m := range []protoreflect.Message{s.ProtoReflect(), s.GetPolicy().ProtoReflect()} {
		if f := m.Descriptor().Fields().ByName(name); f != nil {
			return m, f
		}
	}
	return nil, nil
}

func serviceKeys(s *configpb.Service) []string {
	var keys []string
	for _, name := range append(fieldNames(s.ProtoReflect().Descriptor()), fieldNames(s.GetPolicy().ProtoReflect().Descriptor())...) {
		if !hiddenFields[protoreflect.Name(name)] {
			keys = append(keys, name)
		}
	}
	return keys
}

// checkServiceKey checks only what needs the line of a key; the control host
// validates the operation as a whole.
func checkServiceKey(at string, k key, s *configpb.Service, c *collector) {
	if k.name != "addresses" {
		return
	}
	for _, addr := range s.GetAddresses() {
		if fault := checkDialAddress(addr); fault != "" {
			c.add(k.line, "%s: %q %s", at, addr, fault)
		}
	}
}
