package answers

import (
	"bufio"
	"bytes"
	"errors"
	"net/http"
	"strings"
	"testing"
)

// checkInParts checks data in parts of a size and returns the first error.
func checkInParts(data string, size int) error {
	h := &headChecker{}
	for len(data) > 0 {
		n := min(size, len(data))
		if err := h.check([]byte(data[:n])); err != nil {
			return err
		}
		data = data[n:]
	}
	return nil
}

// Guards against heads that are accepted or rejected wrongly, in whichever parts they arrive.
func TestHeads(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for _, test := range []struct {
		name, text string
		valid      bool
	}{
		{"complete", ok + "A: b\r\nC-d: e f: g\r\n\r\n", true},
		{"no fields", ok + "\r\n", true},
		{"no reason", "HTTP/1.1 404\r\n\r\n", true},
		{"two blanks before the status", "HTTP/1.1  200 OK\r\n\r\n", true},
		{"without carriage returns", "HTTP/1.1 200 OK\nA: b\n\n", true},
		{"no value", ok + "A:\r\nB: \r\n\r\n", true},
		{"all bytes of names", ok + "!#$%&'*+-.^_`|~09azAZ: x\r\n\r\n", true},
		{"body like a head", ok + "\r\nHTTP/1.1 000 X\r\nA b: c\r\n", true},
		{"interim responses", "HTTP/1.1 103 X\r\nA: b\r\n\r\nHTTP/1.1 100 X\r\n\r\n" + ok + "\r\n A: b\r\n", true},
		{"switch of protocols", "HTTP/1.1 101 X\r\n\r\n A: b\r\n", true},
		{"status over the usual", "HTTP/1.1 999 X\r\n\r\n", true},
		{"status zero", "HTTP/1.1 000 X\r\n\r\n", false},
		{"status below 100", "HTTP/1.1 099 X\r\n\r\n", false},
		{"status with a sign", "HTTP/1.1 +99 X\r\n\r\n", false},
		{"short status", "HTTP/1.1 20\r\n\r\n", false},
		{"no status", "HTTP/1.1 \r\n\r\n", false},
		{"zero after an interim", "HTTP/1.1 102 X\r\n\r\nHTTP/1.1 000 X\r\n\r\n", false},
		{"blank in a name", ok + "A b: c\r\n\r\n", false},
		{"blank after a name", ok + "A : c\r\n\r\n", false},
		{"folded line", ok + "A: b\r\n c\r\n\r\n", false},
		{"folded by a tab", ok + "A: b\r\n\tc: d\r\n\r\n", false},
		{"only blanks", ok + "A: b\r\n \r\n\r\n", false},
		{"control byte in a name", ok + "A\x02b: c\r\n\r\n", false},
		{"high byte in a name", ok + "A\xc3\xa4: c\r\n\r\n", false},
		{"no name", ok + ": c\r\n\r\n", false},
		{"no colon", ok + "A\r\n\r\n", false},
		{"carriage return before a name", ok + "\rA: b\r\n\r\n", false},
		{"in an interim", "HTTP/1.1 102 X\r\nA : b\r\n\r\n" + ok + "\r\n", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			for size := 1; size <= len(test.text); size++ {
				if err := checkInParts(test.text, size); (err == nil) != test.valid || err != nil && !errors.Is(err, ErrMalformed) {
					t.Fatalf("in parts of %d bytes: error %v, want a valid head: %v", size, err, test.valid)
				}
			}
		})
	}
}

// FuzzHead guards against heads that pass although net/http reads names of fields or a status
// from them that are none, and against a result that depends on how the bytes arrive.
func FuzzHead(f *testing.F) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nA: b\r\n\r\n", "HTTP/1.1 000 OK\r\nA: b\r\n\r\n", "HTTP/1.1 200 OK\r\nA : b\r\n c\r\n\r\n", "HTTP/1.0 204 \n\n",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		whole, single := checkInParts(string(data), len(data)+1), checkInParts(string(data), 1)
		if (whole == nil) != (single == nil) {
			t.Fatalf("error %v for all bytes at once, %v for single ones", whole, single)
		}
		response, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(data)), nil)
		if whole != nil || err != nil {
			return
		}
		if response.StatusCode < 100 {
			t.Errorf("status %d passes", response.StatusCode)
		}
		for name := range response.Header {
			if strings.ContainsAny(name, " \t\r\n\x00") || name == "" {
				t.Errorf("field name %q passes", name)
			}
		}
	})
}
