package settings

import (
	"maps"
	"os"
	"path/filepath"
	"slices"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"eelgrasswharf.example/eelgrasswharf/api/settingspb"
)

// Role identifies the schema of a settings file.
type Role string

// The roles that have a settings file.
const (
	RoleControl Role = "control"
	RoleEntry   Role = "entry"
	RoleAgent   Role = "agent"
	// RoleExperiment is the command experiment, not a daemon.
	RoleExperiment Role = "experiment"
)

// ErrUnknownRole is returned for an unknown role.
var ErrUnknownRole = errors.New("unknown role; known are control, entry, agent and experiment")

// noRoleFinding is the finding of a file whose role cannot be detected.
const noRoleFinding = "no section identifies the role: [replica], [forwarding], [agent] or [site]"

// roleSections maps sections that only one role has to that role.
var roleSections = map[string]Role{
	"replica":    RoleControl,
	"forwarding": RoleEntry,
	"agent":      RoleAgent,
	"site":       RoleExperiment,
}

// Roles returns all roles in the order of the documentation.
func Roles() []Role { return []Role{RoleControl, RoleEntry, RoleAgent, RoleExperiment} }

// NewMessage returns an empty root message of a role, or ErrUnknownRole.
func NewMessage(role Role) (proto.Message, error) {
	switch role {
	case RoleControl:
		return &settingspb.ControlSettings{}, nil
	case RoleEntry:
		return &settingspb.EntrySettings{}, nil
	case RoleAgent:
		return &settingspb.AgentSettings{}, nil
	case RoleExperiment:
		return &settingspb.ExperimentSettings{}, nil
	}
	return nil, errors.Wrapf(ErrUnknownRole, "%q", string(role))
}

// Load reads the settings file at path into the empty root message m, applies defaults,
// resolves relative paths against the directory of the file and checks that the files it
// names are usable. The error is Findings unless the file cannot be read.
func Load(path string, m proto.Message) error {
	return load(path, m, true)
}

// Check is like Load but does not check the files that the settings name, so that it can be
// used on another host.
func Check(path string, m proto.Message) error {
	return load(path, m, false)
}

func load(path string, m proto.Message, checkFiles bool) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read settings")
	}
	c := &collector{file: path}
	lines := parse(text, m.ProtoReflect(), c)
	dir := filepath.Dir(path)
	lines.forEachPath(m.ProtoReflect(), func(line int, key string, kind pathKind, value string) string {
		if !filepath.IsAbs(value) {
			value = filepath.Join(dir, value)
		}
		if checkFiles {
			if fault := checkPath(kind, value); fault != "" {
				c.add(line, "%s: %s %s", key, value, fault)
			}
		}
		return value
	})
	return c.err()
}

// Parse reads the text of a settings file into the empty root message m and applies
// defaults. Findings refer to the file by name. Paths are neither resolved nor checked. The
// error is nil or Findings.
func Parse(name string, text []byte, m proto.Message) error {
	c := &collector{file: name}
	parse(text, m.ProtoReflect(), c)
	return c.err()
}

// DetectRole returns the role of a settings file by a section that only this role has, or by
// a section with a similar name. The error is Findings unless the file cannot be read.
func DetectRole(path string) (Role, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return "", errors.Wrap(err, "read settings")
	}
	c := &collector{file: path}
	sections := parseFile(text, c)
	for _, s := range sections {
		if role, ok := roleSections[s.name]; ok {
			// Findings are reported by the check for the detected role.
			return role, nil
		}
	}
	for _, s := range sections {
		if role, ok := similarRole(s.name); ok {
			return role, nil
		}
	}
	c.add(1, noRoleFinding)
	return "", c.err()
}

// similarRole returns the role whose own section is the known section most similar to name.
func similarRole(name string) (Role, bool) {
	var known []string
	for _, r := range Roles() {
		m, err := NewMessage(r)
		if err != nil {
			continue
		}
		known = append(known, fieldNames(m.ProtoReflect().Descriptor())...)
	}
	role, ok := roleSections[nearest(name, known)]
	return role, ok
}

// keyLines holds the line numbers of keys and sections.
type keyLines map[keyName]int

func parse(text []byte, m protoreflect.Message, c *collector) keyLines {
	lines := keyLines{}
	sections := parseFile(text, c)
	known := fieldNames(m.Descriptor())
	for _, s := range sections {
		field := m.Descriptor().Fields().ByName(protoreflect.Name(s.name))
		if field == nil {
			c.add(s.line, "%s: unknown section%s", s.name, suggestion(s.name, known))
			continue
		}
		lines[keyName{section: s.name}] = s.line
		parseSection(s, m.Mutable(field).Message(), c, lines)
	}
	checkRequired(m, c, lines)
	checkCombinations(m.Interface(), c, lines)
	ApplyDefaults(m.Interface())
	return lines
}

func parseSection(s section, m protoreflect.Message, c *collector, lines keyLines) {
	known := fieldNames(m.Descriptor())
	for _, k := range s.keys {
		path := s.name + "." + k.name
		field := m.Descriptor().Fields().ByName(protoreflect.Name(k.name))
		if field == nil {
			c.add(k.line, "%s: unknown key%s", path, suggestion(k.name, known))
			continue
		}
		lines[keyName{s.name, k.name}] = k.line
		if err := setField(m, field, k.value); err != nil {
			c.add(k.line, "%s: %v", path, err)
			continue
		}
		checkKey(path, k, field, c)
	}
}

// checkKey applies the rule of a key to a parsed value.
func checkKey(path string, k key, f protoreflect.FieldDescriptor, c *collector) {
	r := ruleOf(f)
	values := elements(f, k.value)
	if r.required && (len(values) == 0 || values[0] == "") {
		c.add(k.line, "%s: may not be empty", path)
		return
	}
	if r.positive && k.value == "0" {
		c.add(k.line, "%s: must be at least 1", path)
	}
	if r.check == nil {
		return
	}
	for _, v := range values {
		if v == "" {
			continue
		}
		if fault := r.check(v); fault != "" {
			c.add(k.line, "%s: %q %s", path, v, fault)
		}
	}
}

// checkRequired reports missing required keys.
func checkRequired(m protoreflect.Message, c *collector, lines keyLines) {
	sections := m.Descriptor().Fields()
	for i := range sections.Len() {
		s := sections.Get(i)
		keys := s.Message().Fields()
		for j := range keys.Len() {
			f := keys.Get(j)
			_, given := lines[keyName{string(s.Name()), string(f.Name())}]
			if given || !ruleOf(f).required || keysOptional(m, s) {
				continue
			}
			line := max(1, lines[keyName{section: string(s.Name())}])
			c.add(line, "%s.%s: required key is missing", s.Name(), f.Name())
		}
	}
}

// keysOptional reports whether a section is the one of key files and names none because the
// host is unauthenticated.
func keysOptional(m protoreflect.Message, section protoreflect.FieldDescriptor) bool {
	keySettings, ok := m.Get(section).Message().Interface().(*settingspb.Keys)
	return ok && keySettings.GetUnauthenticated()
}

// ApplyDefaults sets every unset key of the root message m that has a default. Load and Parse
// call it; callers that build a message in code have to.
func ApplyDefaults(m proto.Message) {
	root := m.ProtoReflect()
	sections := root.Descriptor().Fields()
	for i := range sections.Len() {
		s := root.Mutable(sections.Get(i)).Message()
		keys := s.Descriptor().Fields()
		for j := range keys.Len() {
			f := keys.Get(j)
			r := ruleOf(f)
			if r.defaultValue == "" || s.Has(f) {
				continue
			}
			// A test ensures that the defaults parse.
			_ = setField(s, f, r.defaultValue)
		}
	}
}

// forEachPath calls visit for every path that was given and stores its result.
func (l keyLines) forEachPath(m protoreflect.Message, visit func(line int, key string, kind pathKind, value string) string) {
	names := slices.SortedFunc(maps.Keys(l), func(a, b keyName) int { return l[a] - l[b] })
	for _, qualified := range names {
		if qualified.key == "" {
			continue
		}
		sec := m.Mutable(m.Descriptor().Fields().ByName(protoreflect.Name(qualified.section))).Message()
		f := sec.Descriptor().Fields().ByName(protoreflect.Name(qualified.key))
		kind := ruleOf(f).path
		value := sec.Get(f)
		if kind == notPath || value.String() == "" {
			continue
		}
		path := visit(l[qualified], qualified.section+"."+qualified.key, kind, value.String())
		sec.Set(f, protoreflect.ValueOfString(path))
	}
}
