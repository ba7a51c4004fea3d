package daemons

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

// Guards against a daemon that refuses work after a pause of its own and does not say
// that it was paused.
func TestPauseIsLogged(t *testing.T) {
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	log.SetFormatter(&logrus.JSONFormatter{})
	p := &pauseLog{log: logrus.NewEntry(log)}
	now := time.Now()
	p.check(now)
	p.check(now.Add(100 * time.Millisecond))
	if out.Len() > 0 {
		t.Errorf("log without a pause: %s", &out)
	}
	p.check(now.Add(3100 * time.Millisecond))
	if !strings.Contains(out.String(), `"paused-ms":3000`) {
		t.Errorf("log after a pause of 3 s: %s", &out)
	}
}
