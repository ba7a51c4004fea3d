// Package bodies decodes JSON bodies that other programs write, strictly: what does not have
// the form of an interface is an error, and not a body with some fields left out.
package bodies

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"
)

// MaxTextBytes bounds texts in bodies of other programs that are kept, such as names.
const MaxTextBytes = 256

// ErrMalformed is returned for bodies that do not have the form of the interface.
var ErrMalformed = errors.New("malformed body")

// Object holds the fields of a JSON object. In contrast to package json, names are
// compared exactly, and a value of null is no value.
type Object map[string]json.RawMessage

// Parse parses a JSON object that takes up all of data, with each name once.
func Parse(data []byte) (Object, error) {
	if !utf8.Valid(data) {
		return nil, fmt.Errorf("%w: invalid UTF-8", ErrMalformed)
	}
	d := json.NewDecoder(bytes.NewReader(data))
	if start, err := d.Token(); err != nil || start != json.Delim('{') {
		return nil, fmt.Errorf("%w: want a JSON object", ErrMalformed)
	}
	o := Object{}
	for d.More() {
		name, err := d.Token()
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
		}
		key, ok := name.(string)
		if _, repeated := o[key]; !ok || repeated {
			return nil, fmt.Errorf("%w: the name %.64q is given twice", ErrMalformed, key)
		}
		var value json.RawMessage
		if err := d.Decode(&value); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
		}
		o[key] = value
	}
	if _, err := d.Token(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return nil, fmt.Errorf("%w: bytes after the object", ErrMalformed)
	}
	return o, nil
}

// Has reports whether the object has a value for a name.
func (o Object) Has(name string) bool { return len(o[name]) > 0 && string(o[name]) != "null" }

// Value decodes the value of a name, which must be there, as a T.
func Value[T any](o Object, name string) (T, error) {
	var v T
	if !o.Has(name) {
		return v, fmt.Errorf("%w: %s is missing", ErrMalformed, name)
	}
	if err := json.Unmarshal(o[name], &v); err != nil {
		return v, fmt.Errorf("%w: %s is %.64q, want a value of type %T", ErrMalformed, name, o[name], v) // err holds all of the value
	}
	return v, nil
}

// Fields reads the fields of an object and keeps the first error.
type Fields struct {
	object Object
	err    error
}

// NewFields returns the fields of an object.
func NewFields(o Object) *Fields { return &Fields{object: o} }

// Err returns the first error.
func (f *Fields) Err() error { return f.err }

// Has reports whether the object has a value for a name.
func (f *Fields) Has(name string) bool { return f.object.Has(name) }

// Fail records that a field does not have the wanted value.
func (f *Fields) Fail(name, want string) {
	if f.err == nil {
		f.err = fmt.Errorf("%w: %s is %.64q, want %s", ErrMalformed, name, f.object[name], want)
	}
}

// Field decodes a field as a T.
func Field[T any](f *Fields, name string) T {
	v, err := Value[T](f.object, name)
	if f.err == nil {
		f.err = err
	}
	return v
}

// Text returns a text that is fit to be a name.
func (f *Fields) Text(name string) string {
	s := Field[string](f, name)
	if s == "" || len(s) > MaxTextBytes || strings.ContainsFunc(s, func(r rune) bool { return r == utf8.RuneError || unicode.IsControl(r) }) {
		f.Fail(name, "a text")
	}
	return s
}

// Count returns a whole number of at least lowest.
func (f *Fields) Count(name string, lowest int32) int {
	n := Field[int32](f, name)
	if n < lowest {
		f.Fail(name, fmt.Sprintf("%d or more", lowest))
	}
	return int(n)
}

// UnixMilliseconds returns a time in ms since 1970.
func (f *Fields) UnixMilliseconds(name string) int64 {
	ms := Field[int64](f, name)
	if ms <= 0 {
		f.Fail(name, "a time in ms since 1970")
	}
	return ms
}

// maxMilliseconds is 146 years, half of the largest Duration.
const maxMilliseconds = (1 << 62) / float64(time.Millisecond)

// Milliseconds returns a time in ms, which may have a fraction.
func (f *Fields) Milliseconds(name string) time.Duration {
	ms := Field[float64](f, name)
	if ms < 0 || ms > maxMilliseconds {
		f.Fail(name, "a time in ms")
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// Address returns the address of a host in its usual notation, so that no two texts
// stand for the same address.
func (f *Fields) Address(name string) string {
	s := Field[string](f, name)
	ap, err := netip.ParseAddrPort(s)
	ip := ap.Addr()
	if err != nil || ap.String() != s || ap.Port() == 0 || ip.Zone() != "" || ip.Is4In6() || ip.IsUnspecified() || ip.IsMulticast() || ip == broadcast {
		f.Fail(name, "IP:PORT of a host")
	}
	return s
}

var broadcast = netip.AddrFrom4([4]byte{255, 255, 255, 255})
