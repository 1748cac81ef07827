package settings

import (
	"bytes"
	"strings"
	"unicode"
	"unicode/utf8"

	"gopkg.in/ini.v1"
)

// section is one section of a file with line numbers.
type section struct {
	name string
	line int
	keys []key
}

// key is one key of a section with its unparsed value.
type key struct {
	name  string
	value string
	line  int
}

// lineIndex holds the line numbers of sections and keys, which ini.v1 does not keep.
type lineIndex struct {
	sections map[string]int
	keys     map[keyName]int
}

type keyName struct{ section, key string }

// parseFile splits text into sections. Lines that ini.v1 would reject become findings and are
// blanked, so that one invalid line does not hide the findings of others.
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

// scan indexes the lines and blanks invalid ones.
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
		return name, name + ": duplicate section"
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
		return "expected a section, key = value or a comment"
	case current == "":
		return name + ": key outside of a section"
	case strings.ContainsAny(name, "\"`") || name == "-":
		return "a key name may not be quoted"
	case strings.HasPrefix(value, "`") || strings.HasPrefix(value, `"""`):
		return current + "." + name + ": multi-line values are not supported"
	}
	qualified := keyName{current, name}
	if _, ok := x.keys[qualified]; ok {
		return current + "." + name + ": duplicate key"
	}
	x.keys[qualified] = number
	return ""
}

// collect combines the parsed file with its line numbers.
func collect(file *ini.File, index lineIndex) []section {
	var out []section
	for _, s := range file.Sections() {
		if s.Name() == ini.DefaultSection {
			continue
		}
		sec := section{name: s.Name(), line: index.sections[s.Name()]}
		for _, k := range s.Keys() {
			qualified := keyName{s.Name(), k.Name()}
			// Value is the raw text; ini.v1's String would expand %(name)s.
			sec.keys = append(sec.keys, key{name: k.Name(), value: k.Value(), line: index.keys[qualified]})
		}
		out = append(out, sec)
	}
	return out
}
