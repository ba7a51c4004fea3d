package faults

import (
	"bytes"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"
)

// Guards against an unexpected error that ends the process or leaves no trace.
func TestRecover(t *testing.T) {
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	call := func(fail bool) (err error) {
		defer Recover(logrus.NewEntry(log), "Call", &err)
		if fail {
			panic("unexpected value")
		}
		return nil
	}
	before := Count()
	if err := call(false); err != nil || Count() != before || out.Len() > 0 {
		t.Errorf("a call without a panic returns %v and logs %q", err, out.String())
	}
	if err := call(true); err == nil || Count() != before+1 || !strings.Contains(out.String(), "unexpected value") {
		t.Errorf("a panic returns %v, counts %d and logs %q", err, Count()-before, out.String())
	}
}
