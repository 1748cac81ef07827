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

// checkedPatchID stands for the identifier that the operator will choose.
const checkedPatchID = "config-check"

var operationPrefixes = []string{putPrefix, removePrefix, releasePrefix}

// hiddenFields are fields of a service that the section name or the control
// host sets.
var hiddenFields = map[protoreflect.Name]bool{"number": true, "name": true, "policy": true, "warmup": true}

// LoadPatch reads a patch file into operations with their places. A section
// [service NAME] creates or replaces a service; its keys are the fields of
// the service and of its policy. A section [remove NAME] removes one, and
// [release IP:PORT] closes a retired public address. Id and base version are
// left for the caller. The error is Findings, or what kept the file from being
// read. A file with a fault of form is checked for its content, too, as
// CheckPatch does, so that one try shows all faults; content alone is left to
// the control hosts, who know the version.
func LoadPatch(path string) (*configpb.Patch, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read patch")
	}
	return ParsePatch(path, text)
}

// CheckPatch checks a patch file in form, and in content as the control hosts
// would, were it the first patch. Removals and releases are checked in form
// only, since they are good or bad on a certain version.
func CheckPatch(path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read patch")
	}
	p := parsePatch(path, text)
	p.checkContent()
	return p.err()
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
	p := parsePatch(name, text)
	if len(p.found) == 0 {
		return p.patch, nil
	}
	p.checkContent()
	return nil, p.err()
}

// patchFile is a patch file as far as its form could be understood.
type patchFile struct {
	collector
	patch *configpb.Patch
	// lines has the line of each operation.
	lines []int
	// keys has the key of each field that a section sets, by the place that
	// config gives the field.
	keys map[string]patchKey
}

// patchKey is a key of a patch file that sets a field.
type patchKey struct {
	// at is "section.key".
	at   string
	line int
	// faulty is set for a fault of form: there is no value to judge.
	faulty bool
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
	if len(sections) == 0 && len(p.found) == 0 {
		p.add(1, "the patch has no operation: none of [service NAME], [remove NAME], [release IP:PORT]")
	}
	return p
}

// checkContent adds what config finds in the services that the patch puts.
func (p *patchFile) checkContent() {
	puts := &configpb.Patch{Id: checkedPatchID}
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
		case k.faulty:
		case set:
			p.add(k.line, "%s: %s", k.at, f.GetText())
		default:
			operation, _, _ := strings.Cut(f.GetPlace(), ", service ")
			p.found = append(p.found, lineFinding{line: lines[operation], place: f.GetPlace(), text: f.GetText()})
		}
	}
}

func (p *patchFile) parseOperation(s section) *configpb.Operation {
	kind, name, _ := strings.Cut(s.name, " ")
	name = strings.TrimSpace(name)
	if !slices.Contains(operationPrefixes, kind) {
		p.add(s.line, "%s: unknown section, known are [service NAME], [remove NAME] and [release IP:PORT]%s", s.name, hint(kind, operationPrefixes))
		return nil
	}
	if kind == releasePrefix {
		return p.parseRelease(s, name)
	}
	if name == "" {
		p.add(s.line, "%s: the section names no service", s.name)
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
		p.add(k.line, "%s.%s: a section that removes has no keys", s.name, k.name)
	}
	return &configpb.Operation{Body: &configpb.Operation_RemoveService{RemoveService: name}}
}

func (p *patchFile) parseRelease(s section, address string) *configpb.Operation {
	for _, k := range s.keys {
		p.add(k.line, "%s.%s: a section that releases has no keys", s.name, k.name)
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
		at := s.name + "." + k.name
		m, field := serviceField(service, protoreflect.Name(k.name))
		if field == nil {
			p.add(k.line, "%s: unknown key%s", at, hint(k.name, known))
			continue
		}
		before := len(p.found)
		if err := set(m, field, k.value); err != nil {
			p.add(k.line, "%s: %v", at, err)
		} else {
			p.checkServiceKey(at, k, service)
		}
		place := config.ServicePlace(p.place(s.line), name, fieldPath(m, k.name))
		p.keys[place] = patchKey{at: at, line: k.line, faulty: len(p.found) > before}
	}
	return &configpb.Operation{Body: &configpb.Operation_PutService{PutService: service}}
}

// fieldPath names a field of a service or its policy as config does.
func fieldPath(m protoreflect.Message, key string) string {
	if _, ok := m.Interface().(*configpb.Policy); ok {
		return "policy." + key
	}
	return key
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

// checkServiceKey checks only what needs the line of a key; config validates
// the operation as a whole.
func (p *patchFile) checkServiceKey(at string, k key, s *configpb.Service) {
	if k.name != "addresses" {
		return
	}
	for _, addr := range s.GetAddresses() {
		if fault := checkDialAddress(addr); fault != "" {
			p.add(k.line, "%s: %q %s", at, addr, fault)
		}
	}
}
