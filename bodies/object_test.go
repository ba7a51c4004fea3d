package bodies

import (
	"errors"
	"testing"
)

// Guards against bodies of other programs that are taken for sound ones with some fields
// left out.
func TestParse(t *testing.T) {
	for body, sound := range map[string]bool{
		`{}`: true, `{"a":1}`: true, ` {"a":{"b":null}} `: true,
		``: false, `null`: false, `[]`: false, `"a"`: false, `{"a":1`: false, `{"a":1}{}`: false, `{"a":1}x`: false, `{"a":1,"a":1}`: false, "{\"a\":\"\xff\"}": false,
	} {
		if _, err := Parse([]byte(body)); (err == nil) != sound || err != nil && !errors.Is(err, ErrMalformed) {
			t.Errorf("%q: error %v, want a sound body: %v", body, err, sound)
		}
	}
}

// Guards against values of another type or range that are taken for a number, a name or an
// address.
func TestFields(t *testing.T) {
	read := map[string]func(*Fields){
		"text":    func(f *Fields) { f.Text("v") },
		"count":   func(f *Fields) { f.Count("v", 1) },
		"time":    func(f *Fields) { f.UnixMilliseconds("v") },
		"span":    func(f *Fields) { f.Milliseconds("v") },
		"address": func(f *Fields) { f.Address("v") },
	}
	for _, test := range []struct {
		kind, value string
		sound       bool
	}{
		{"text", `"s1"`, true}, {"text", `""`, false}, {"text", `1`, false}, {"text", `null`, false}, {"text", `"a\u0000"`, false},
		{"count", `1`, true}, {"count", `0`, false}, {"count", `1.5`, false}, {"count", `"1"`, false}, {"count", `3000000000`, false},
		{"time", `1796000000000`, true}, {"time", `"1796000000000"`, false}, {"time", `0`, false}, {"time", `1.5`, false}, {"time", `1e300`, false},
		{"span", `0`, true}, {"span", `2.5`, true}, {"span", `-1`, false}, {"span", `1e300`, false}, {"span", `true`, false},
		{"address", `"10.0.0.1:80"`, true}, {"address", `"10.0.0.1:0"`, false}, {"address", `"host:80"`, false}, {"address", `"0.0.0.0:80"`, false}, {"address", `"010.0.0.1:80"`, false},
	} {
		o, err := Parse([]byte(`{"v":` + test.value + `}`))
		if err != nil {
			t.Fatal(err)
		}
		f := NewFields(o)
		if read[test.kind](f); (f.Err() == nil) != test.sound {
			t.Errorf("%s %s: error %v, want a sound value: %v", test.kind, test.value, f.Err(), test.sound)
		}
	}
}
