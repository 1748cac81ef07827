package settings

import (
	"os"
	"slices"
	"strings"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/reflect/protoreflect"

	"eelgrasswharf.example/eelgrasswharf/api/configpb"
	"eelgrasswharf.example/eelgrasswharf/config"
)

// Sections of a patch file.
const (
	putPrefix     = "service"
	removePrefix  = "remove"
	releasePrefix = "release"
)

// placeholderPatchID is the ID of a patch that is only checked.
const placeholderPatchID = "config-check"

var operationPrefixes = []string{putPrefix, removePrefix, releasePrefix}

// managedFields are the fields of a service that are not keys of its section.
var managedFields = map[protoreflect.Name]bool{"number": true, "name": true, "policy": true, "warmup": true}

// LoadPatch reads a patch file into operations with their places. A section [service NAME]
// creates or replaces a service; its keys are the fields of the service and of its policy. A
// section [remove NAME] removes a service, and [release IP:PORT] closes a retired public
// address. The caller sets the ID and the base version.
//
// The error is Findings unless the file cannot be read. Content is checked only to complete
// the findings of a file with syntax errors; otherwise the control hosts check it against the
// current version.
func LoadPatch(path string) (*configpb.Patch, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read patch")
	}
	return ParsePatch(path, text)
}

// CheckPatch checks the syntax of a patch file, and its content as if it were the first patch.
// Removals and releases depend on the version, so only their syntax is checked.
func CheckPatch(path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read patch")
	}
	p := parsePatch(path, text)
	p.checkContent()
	return p.err()
}

// IsPatch reports whether a file is a patch file, judging by its first section.
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

// ParsePatch is like LoadPatch for text; name is the file name used in places and findings.
func ParsePatch(name string, text []byte) (*configpb.Patch, error) {
	p := parsePatch(name, text)
	if len(p.findings) == 0 {
		return p.patch, nil
	}
	p.checkContent()
	return nil, p.err()
}

// patchFile is the valid part of a patch file with its findings.
type patchFile struct {
	collector
	patch *configpb.Patch
	// lines holds the line number of each operation.
	lines []int
	// keys holds the key of each field that a section sets, by the field's place in config.
	keys map[string]patchKey
}

// patchKey is a key of a patch file that sets a field.
type patchKey struct {
	// path is "section.key".
	path string
	line int
	// invalid is set if the value could not be parsed; its content is not checked.
	invalid bool
}

func parsePatch(name string, text []byte) *patchFile {
	p := &patchFile{collector: collector{file: name}, patch: &configpb.Patch{}, keys: map[string]patchKey{}}
	sections := parseFile(text, &p.collector)
	for _, s := range sections {
		op := p.parseOperation(s)
		if op == nil {
			continue
		}
		p.patch.Operations = append(p.patch.Operations, op)
		p.patch.Places = append(p.patch.Places, p.place(s.line))
		p.lines = append(p.lines, s.line)
	}
	if len(sections) == 0 && len(p.findings) == 0 {
		p.add(1, "the patch has no operation: none of [service NAME], [remove NAME], [release IP:PORT]")
	}
	return p
}

// checkContent adds the findings of config for the services in the patch.
func (p *patchFile) checkContent() {
	puts := &configpb.Patch{Id: placeholderPatchID}
	lines := map[string]int{config.PatchPlace: 1}
	for i, op := range p.patch.GetOperations() {
		if op.GetPutService() == nil {
			continue
		}
		place := p.patch.GetPlaces()[i]
		puts.Operations = append(puts.Operations, op)
		puts.Places = append(puts.Places, place)
		lines[place] = p.lines[i]
	}
	if len(puts.GetOperations()) == 0 {
		return
	}
	for _, f := range config.ValidatePatch(&configpb.Configuration{}, puts) {
		k, set := p.keys[f.GetPlace()]
		switch {
		case k.invalid:
		case set:
			p.add(k.line, "%s: %s", k.path, f.GetText())
		default:
			operation, _, _ := strings.Cut(f.GetPlace(), ", service ")
			p.findings = append(p.findings, lineFinding{line: lines[operation], place: f.GetPlace(), text: f.GetText()})
		}
	}
}

func (p *patchFile) parseOperation(s section) *configpb.Operation {
	kind, name, _ := strings.Cut(s.name, " ")
	name = strings.TrimSpace(name)
	if !slices.Contains(operationPrefixes, kind) {
		p.add(s.line, "%s: unknown section, known are [service NAME], [remove NAME] and [release IP:PORT]%s", s.name, suggestion(kind, operationPrefixes))
		return nil
	}
	if kind == releasePrefix {
		return p.parseRelease(s, name)
	}
	if name == "" {
		p.add(s.line, "%s: the section has no service name", s.name)
		return nil
	}
	if fault := checkName(name); fault != "" {
		p.add(s.line, "%s: %q %s", s.name, name, fault)
		return nil
	}
	if kind == removePrefix {
		return p.parseRemove(s, name)
	}
	return p.parsePut(s, name)
}

func (p *patchFile) parseRemove(s section, name string) *configpb.Operation {
	for _, k := range s.keys {
		p.add(k.line, "%s.%s: a remove section has no keys", s.name, k.name)
	}
	return &configpb.Operation{Body: &configpb.Operation_RemoveService{RemoveService: name}}
}

func (p *patchFile) parseRelease(s section, address string) *configpb.Operation {
	for _, k := range s.keys {
		p.add(k.line, "%s.%s: a release section has no keys", s.name, k.name)
	}
	if fault := checkDialAddress(address); fault != "" {
		p.add(s.line, "%s: %q %s", s.name, address, fault)
		return nil
	}
	return &configpb.Operation{Body: &configpb.Operation_ReleaseAddress{ReleaseAddress: address}}
}

func (p *patchFile) parsePut(s section, name string) *configpb.Operation {
	service := &configpb.Service{Name: name, Policy: &configpb.Policy{}}
	known := serviceKeys(service)
	for _, k := range s.keys {
		path := s.name + "." + k.name
		m, field := serviceField(service, protoreflect.Name(k.name))
		if field == nil {
			p.add(k.line, "%s: unknown key%s", path, suggestion(k.name, known))
			continue
		}
		before := len(p.findings)
		if err := setField(m, field, k.value); err != nil {
			p.add(k.line, "%s: %v", path, err)
		} else {
			p.checkServiceKey(path, k, service)
		}
		place := config.ServicePlace(p.place(s.line), name, fieldPath(m, k.name))
		p.keys[place] = patchKey{path: path, line: k.line, invalid: len(p.findings) > before}
	}
	return &configpb.Operation{Body: &configpb.Operation_PutService{PutService: service}}
}

// fieldPath returns the name that config uses for a field of a service or its policy.
func fieldPath(m protoreflect.Message, key string) string {
	if _, ok := m.Interface().(*configpb.Policy); ok {
		return "policy." + key
	}
	return key
}

// serviceField looks up a key among the fields of a service and its policy.
func serviceField(s *configpb.Service, name protoreflect.Name) (protoreflect.Message, protoreflect.FieldDescriptor) {
	if managedFields[name] {
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
		if !managedFields[protoreflect.Name(name)] {
			keys = append(keys, name)
		}
	}
	return keys
}

// checkServiceKey checks only what has to be reported with the line of the key; config
// validates the operation.
func (p *patchFile) checkServiceKey(path string, k key, s *configpb.Service) {
	if k.name != "addresses" {
		return
	}
	for _, addr := range s.GetAddresses() {
		if fault := checkDialAddress(addr); fault != "" {
			p.add(k.line, "%s: %q %s", path, addr, fault)
		}
	}
}
