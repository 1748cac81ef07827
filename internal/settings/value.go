package settings

import (
	"strconv"
	"strings"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// setField parses text as the value of field f and stores it in m.
func setField(m protoreflect.Message, f protoreflect.FieldDescriptor, text string) error {
	if !f.IsList() {
		v, err := parseValue(f, text)
		if err != nil {
			return err
		}
		m.Set(f, v)
		return nil
	}
	list := m.Mutable(f).List()
	for _, element := range elements(f, text) {
		v, err := parseValue(f, element)
		if err != nil {
			return err
		}
		list.Append(v)
	}
	return nil
}

// elements splits a value into the parts that are checked one by one: the elements of a list
// or the value itself.
func elements(f protoreflect.FieldDescriptor, text string) []string {
	if !f.IsList() {
		return []string{text}
	}
	var out []string
	for _, part := range strings.Split(text, ",") {
		if part = strings.TrimSpace(part); part != "" {
			out = append(out, part)
		}
	}
	return out
}

func parseValue(f protoreflect.FieldDescriptor, text string) (protoreflect.Value, error) {
	switch f.Kind() {
	case protoreflect.StringKind:
		return protoreflect.ValueOfString(text), nil
	case protoreflect.BoolKind:
		return parseBool(text)
	case protoreflect.Uint32Kind:
		n, err := strconv.ParseUint(text, 10, 32)
		return protoreflect.ValueOfUint32(uint32(n)), numberError(err, text, "a whole number from 0 to 4294967295")
	case protoreflect.Uint64Kind:
		n, err := strconv.ParseUint(text, 10, 64)
		return protoreflect.ValueOfUint64(n), numberError(err, text, "a whole number from 0")
	case protoreflect.DoubleKind:
		n, err := strconv.ParseFloat(text, 64)
		return protoreflect.ValueOfFloat64(n), numberError(err, text, "a number")
	case protoreflect.EnumKind:
		return parseEnum(f.Enum(), text)
	default:
		return protoreflect.Value{}, errors.Errorf("keys of kind %s cannot be set from a file", f.Kind())
	}
}

func parseBool(text string) (protoreflect.Value, error) {
	switch text {
	case "true":
		return protoreflect.ValueOfBool(true), nil
	case "false":
		return protoreflect.ValueOfBool(false), nil
	}
	return protoreflect.Value{}, errors.Errorf("%q is neither true nor false", text)
}

func numberError(err error, text, want string) error {
	if err == nil {
		return nil
	}
	return errors.Errorf("%q is not %s", text, want)
}

func parseEnum(e protoreflect.EnumDescriptor, text string) (protoreflect.Value, error) {
	names := enumNames(e)
	for i, name := range names {
		if name == text {
			return protoreflect.ValueOfEnum(e.Values().Get(i).Number()), nil
		}
	}
	return protoreflect.Value{}, errors.Errorf("%q is not one of %s", text, strings.Join(names, ", "))
}

// enumNames returns the names of enum values in file syntax: LOG_FORMAT_JSON of LogFormat is
// "json".
func enumNames(e protoreflect.EnumDescriptor) []string {
	prefix := len(upperSnake(string(e.Name()))) + 1
	values := e.Values()
	names := make([]string, 0, values.Len())
	for i := range values.Len() {
		names = append(names, strings.ToLower(string(values.Get(i).Name())[prefix:]))
	}
	return names
}

func upperSnake(camel string) string {
	var b strings.Builder
	for i, r := range camel {
		if i > 0 && r >= 'A' && r <= 'Z' {
			b.WriteByte('_')
		}
		b.WriteRune(r)
	}
	return strings.ToUpper(b.String())
}

// fieldNames returns the field names of a message.
func fieldNames(d protoreflect.MessageDescriptor) []string {
	fields := d.Fields()
	names := make([]string, 0, fields.Len())
	for i := range fields.Len() {
		names = append(names, string(fields.Get(i).Name()))
	}
	return names
}
