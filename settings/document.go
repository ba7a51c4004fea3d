package settings

import (
	"bytes"
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"

	"github.com/tailscale/hujson"
)

var textUnmarshalerType = reflect.TypeFor[encoding.TextUnmarshaler]()

// document is a settings file with the line of each key and the errors found.
type document struct {
	data  []byte
	lines map[string]int // line by key path
	errs  ValidationErrors
}

func (d *document) lineAt(offset int) int { return 1 + bytes.Count(d.data[:offset], []byte("\n")) }

// addError records an error at the line of key, or at that of its nearest parent
// in the file when the key is absent.
func (d *document) addError(key, format string, args ...any) {
	line, parent := 1, key
	for {
		if l, ok := d.lines[parent]; ok {
			line = l
			break
		}
		i := strings.LastIndexAny(parent, ".[")
		if i < 0 {
			break
		}
		parent = parent[:i]
	}
	d.errs = append(d.errs, ValidationError{Line: line, Key: key, Text: fmt.Sprintf(format, args...)})
}

// checkValue checks a JSON value against the Go type that it is decoded into.
func (d *document) checkValue(v hujson.Value, t reflect.Type, key string) {
	d.lines[key] = d.lineAt(v.StartOffset)
	switch {
	case reflect.PointerTo(t).Implements(textUnmarshalerType):
		d.checkScalar(v, t, key)
	case t.Kind() == reflect.Struct:
		d.checkObject(v, t, key)
	case t.Kind() == reflect.Slice:
		d.checkArray(v, t, key)
	default:
		d.checkScalar(v, t, key)
	}
}

func (d *document) checkScalar(v hujson.Value, t reflect.Type, key string) {
	v = v.Clone()
	v.Standardize()
	if literal, ok := v.Value.(hujson.Literal); ok && literal.Kind() == 'n' {
		d.addError(key, "is null; leave the key out to use its default")
		return
	}
	if err := json.Unmarshal(v.Pack(), reflect.New(t).Interface()); err != nil {
		d.addError(key, "%s", strings.TrimPrefix(err.Error(), "json: "))
	}
}

func (d *document) checkArray(v hujson.Value, t reflect.Type, key string) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		d.addError(key, "must be an array")
		return
	}
	for i, element := range array.Elements {
		d.checkValue(element, t.Elem(), fmt.Sprintf("%s[%d]", key, i))
	}
}

func (d *document) checkObject(v hujson.Value, t reflect.Type, key string) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.addError(key, "must be an object")
		return
	}
	fields := jsonFields(t)
	seen := map[string]bool{}
	for _, m := range object.Members {
		name := m.Name.Value.(hujson.Literal).String()
		path := strings.TrimPrefix(key+"."+name, ".")
		field, known := fields[name]
		switch {
		case !known:
			d.lines[path] = d.lineAt(m.Name.StartOffset)
			d.addError(path, "unknown key")
		case seen[name]:
			d.lines[path] = d.lineAt(m.Name.StartOffset)
			d.addError(path, "key is given twice in the same object")
		default:
			d.checkValue(m.Value, field, path)
		}
		seen[name] = true
	}
}

func jsonFields(t reflect.Type) map[string]reflect.Type {
	fields := map[string]reflect.Type{}
	for i := range t.NumField() {
		f := t.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		fields[name] = f.Type
	}
	return fields
}
