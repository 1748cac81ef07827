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

// Role names a daemon and so the schema of its settings file.
type Role string

// The roles that have a settings file.
const (
	RoleControl Role = "control"
	RoleEntry   Role = "entry"
	RoleAgent   Role = "agent"
	// RoleExperiment is no daemon but the command experiment.
	RoleExperiment Role = "experiment"
)

// ErrUnknownRole reports the name of a role that does not exist.
var ErrUnknownRole = errors.New("unknown role; known are control, entry, agent and experiment")

// noRole is the finding of a file whose role cannot be guessed.
const noRole = "no section tells the role: [replica], [forwarding], [agent] or [site]"

// roleSections are the sections that only one role has.
var roleSections = map[string]Role{
	"replica":    RoleControl,
	"forwarding": RoleEntry,
	"agent":      RoleAgent,
	"site":       RoleExperiment,
}

// Roles lists the roles in the order of the documentation.
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

// Load reads the settings file at path into the empty root message m, applies
// defaults, resolves relative paths against the folder of the file and checks
// that the files it names can be used. The error is Findings, or what kept
// the file from being read.
func Load(path string, m proto.Message) error {
	return load(path, m, true)
}

// Check is Load for a file that may be meant for another host: it does not
// look at the files that the settings name.
func Check(path string, m proto.Message) error {
	return load(path, m, false)
}

func load(path string, m proto.Message, files bool) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read settings")
	}
	c := &collector{file: path}
	lines := parse(text, m.ProtoReflect(), c)
	folder := filepath.Dir(path)
	lines.eachPath(m.ProtoReflect(), func(line int, key string, kind pathKind, value string) string {
		if !filepath.IsAbs(value) {
			value = filepath.Join(folder, value)
		}
		if files {
			if fault := checkPath(kind, value); fault != "" {
				c.add(line, "%s: %s %s", key, value, fault)
			}
		}
		return value
	})
	return c.err()
}

// Parse reads the text of a settings file into the empty root message m and
// applies defaults. The name stands for the file in findings. Paths stay as
// written and are not looked at. The error is nil or Findings.
func Parse(name string, text []byte, m proto.Message) error {
	c := &collector{file: name}
	parse(text, m.ProtoReflect(), c)
	return c.err()
}

// DetectRole tells the role of a settings file by the section that only this
// role has, or else by one whose name is nearly that. The error is Findings, or
// what kept the file from being read.
func DetectRole(path string) (Role, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return "", errors.Wrap(err, "read settings")
	}
	c := &collector{file: path}
	sections := parseFile(text, c)
	for _, s := range sections {
		if role, ok := roleSections[s.name]; ok {
			// Findings are left for the check under the guessed role.
			return role, nil
		}
	}
	for _, s := range sections {
		if role, ok := roleNear(s.name); ok {
			return role, nil
		}
	}
	c.add(1, noRole)
	return "", c.err()
}

// roleNear returns the role whose own section is the known section nearest to
// an unknown name.
func roleNear(name string) (Role, bool) {
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

// keyLines tells on which line a key was given, by section and key.
type keyLines map[keyName]int

func parse(text []byte, m protoreflect.Message, c *collector) keyLines {
	lines := keyLines{}
	sections := parseFile(text, c)
	known := fieldNames(m.Descriptor())
	for _, s := range sections {
		field := m.Descriptor().Fields().ByName(protoreflect.Name(s.name))
		if field == nil {
			c.add(s.line, "%s: unknown section%s", s.name, hint(s.name, known))
			continue
		}
		lines[keyName{section: s.name}] = s.line
		parseSection(s, m.Mutable(field).Message(), c, lines)
	}
	checkRequired(m, c, lines)
	checkTogether(m.Interface(), c, lines)
	ApplyDefaults(m.Interface())
	return lines
}

func parseSection(s section, m protoreflect.Message, c *collector, lines keyLines) {
	known := fieldNames(m.Descriptor())
	for _, k := range s.keys {
		at := s.name + "." + k.name
		field := m.Descriptor().Fields().ByName(protoreflect.Name(k.name))
		if field == nil {
			c.add(k.line, "%s: unknown key%s", at, hint(k.name, known))
			continue
		}
		lines[keyName{s.name, k.name}] = k.line
		if err := set(m, field, k.value); err != nil {
			c.add(k.line, "%s: %v", at, err)
			continue
		}
		checkKey(at, k, field, c)
	}
}

// checkKey applies the rule of a key to a value that parsed.
func checkKey(at string, k key, f protoreflect.FieldDescriptor, c *collector) {
	r := ruleOf(f)
	values := elements(f, k.value)
	if r.required && (len(values) == 0 || values[0] == "") {
		c.add(k.line, "%s: may not be empty", at)
		return
	}
	if r.positive && k.value == "0" {
		c.add(k.line, "%s: has to be at least 1", at)
	}
	if r.check == nil {
		return
	}
	for _, v := range values {
		if v == "" {
			continue
		}
		if fault := r.check(v); fault != "" {
			c.add(k.line, "%s: %q %s", at, v, fault)
		}
	}
}

// checkRequired reports required keys that were not given at all.
func checkRequired(m protoreflect.Message, c *collector, lines keyLines) {
	sections := m.Descriptor().Fields()
	for i := range sections.Len() {
		s := sections.Get(i)
		keys := s.Message().Fields()
		for j := range keys.Len() {
			f := keys.Get(j)
			_, given := lines[keyName{string(s.Name()), string(f.Name())}]
			if given || !ruleOf(f).required || needless(m, s) {
				continue
			}
			line := max(1, lines[keyName{section: string(s.Name())}])
			c.add(line, "%s.%s: required key is missing", s.Name(), f.Name())
		}
	}
}

// needless reports whether the required keys of a section may be missing: those that
// name files of keys, where no keys are taken from files.
func needless(m protoreflect.Message, section protoreflect.FieldDescriptor) bool {
	taken, ok := m.Get(section).Message().Interface().(*settingspb.Keys)
	return ok && taken.GetUnauthenticated()
}

// ApplyDefaults sets every key of the root message m that is unset and has a
// default. Messages that were made in code need it; Load and Parse apply it.
func ApplyDefaults(m proto.Message) {
	root := m.ProtoReflect()
	sections := root.Descriptor().Fields()
	for i := range sections.Len() {
		s := root.Mutable(sections.Get(i)).Message()
		keys := s.Descriptor().Fields()
		for j := range keys.Len() {
			f := keys.Get(j)
			r := ruleOf(f)
			if r.fallback == "" || s.Has(f) {
				continue
			}
			// The table's own values parse; a test holds them to it.
			_ = set(s, f, r.fallback)
		}
	}
}

// eachPath calls visit for every given path and stores what it returns.
func (l keyLines) eachPath(m protoreflect.Message, visit func(line int, key string, kind pathKind, value string) string) {
	names := slices.SortedFunc(maps.Keys(l), func(a, b keyName) int { return l[a] - l[b] })
	for _, at := range names {
		if at.key == "" {
			continue
		}
		sec := m.Mutable(m.Descriptor().Fields().ByName(protoreflect.Name(at.section))).Message()
		f := sec.Descriptor().Fields().ByName(protoreflect.Name(at.key))
		kind := ruleOf(f).path
		value := sec.Get(f)
		if kind == notPath || value.String() == "" {
			continue
		}
		path := visit(l[at], at.section+"."+at.key, kind, value.String())
		sec.Set(f, protoreflect.ValueOfString(path))
	}
}
