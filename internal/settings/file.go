package settings

import (
	"bytes"
	"strings"
	"unicode"
	"unicode/utf8"

	"gopkg.in/ini.v1"
)

// section is one section of a file with the lines of its parts.
type section struct {
	name string
	line int
	keys []key
}

// key is one key of a section and its value as written.
type key struct {
	name  string
	value string
	line  int
}

// lineIndex tells where sections and keys stand, which ini.v1 does not keep.
type lineIndex struct {
	sections map[string]int
	keys     map[keyName]int
}

type keyName struct{ section, key string }

// parseFile splits text into sections. Lines that ini.v1 would give up on
// become findings and are hidden from it, so that one bad line does not keep
// the findings of the others back.
func parseFile(text []byte, c *collector) []section {
	if !utf8.Valid(text) {
		c.add(1, "the file is not UTF-8 text")
		return nil
	}
	lines := bytes.Split(bytes.TrimPrefix(text, []byte("\ufeff")), []byte("\n"))
	index := scan(lines, c)
	file, err := ini.LoadSources(ini.LoadOptions{
		IgnoreContinuation:       true,
		SpaceBeforeInlineComment: true,
		KeyValueDelimiters:       "=",
	}, bytes.Join(lines, []byte("\n")))
	if err != nil {
		c.add(1, "%v", err)
		return nil
	}
	return collect(file, index)
}

// scan indexes lines and blanks out the ones that cannot be used.
func scan(lines [][]byte, c *collector) lineIndex {
	index := lineIndex{sections: map[string]int{}, keys: map[keyName]int{}}
	current := ""
	for i, raw := range lines {
		line := strings.TrimFunc(string(raw), unicode.IsSpace)
		if line == "" || line[0] == '#' || line[0] == ';' {
			continue
		}
		fault := ""
		if line[0] == '[' {
			current, fault = index.addSection(line, i+1, current)
		} else {
			fault = index.addKey(line, i+1, current)
		}
		if fault != "" {
			c.add(i+1, "%s", fault)
			lines[i] = nil
		}
	}
	return index
}

func (x *lineIndex) addSection(line string, number int, current string) (name, fault string) {
	end := strings.LastIndexByte(line, ']')
	if end < 0 {
		return current, "the section has no closing bracket"
	}
	name = line[1:end]
	if strings.TrimSpace(name) == "" {
		return current, "the section has no name"
	}
	if name == ini.DefaultSection {
		return current, "the section name " + name + " is reserved"
	}
	if _, ok := x.sections[name]; ok {
		return name, name + ": the section is given twice"
	}
	x.sections[name] = number
	return name, ""
}

func (x *lineIndex) addKey(line string, number int, current string) string {
	name, value, ok := strings.Cut(line, "=")
	name = strings.TrimSpace(name)
	value = strings.TrimSpace(value)
	switch {
	case !ok || name == "":
		return "neither a section, nor key = value, nor a comment"
	case current == "":
		return name + ": the key stands outside of a section"
	case strings.ContainsAny(name, "\"`") || name == "-":
		return "a key name may not be quoted"
	case strings.HasPrefix(value, "`") || strings.HasPrefix(value, `"""`):
		return current + "." + name + ": a value may not go over several lines"
	}
	at := keyName{current, name}
	if _, ok := x.keys[at]; ok {
		return current + "." + name + ": the key is given twice"
	}
	x.keys[at] = number
	return ""
}

// collect joins the parsed file with the lines of its parts.
func collect(file *ini.File, index lineIndex) []section {
	var out []section
	for _, s := range file.Sections() {
		if s.Name() == ini.DefaultSection {
			continue
		}
		sec := section{name: s.Name(), line: index.sections[s.Name()]}
		for _, k := range s.Keys() {
			at := keyName{s.Name(), k.Name()}
			// Value is the text as written: ini.v1's String would
			// replace %(name)s.
			sec.keys = append(sec.keys, key{name: k.Name(), value: k.Value(), line: index.keys[at]})
		}
		out = append(out, sec)
	}
	return out
}
