package soaks

import (
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

// Guards against a deadlock between the start of a daemon and the question which program
// it runs.
func TestRunsWhileDaemonsStart(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	d, err := NewDeployment(DeploymentConfig{
		Seed: 1, Program: "true", Folder: t.TempDir(), Controls: 1, Entries: -1, Checker: NewChecker(), Log: logrus.NewEntry(log),
	})
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	h := d.Hosts()[0]
	asked := make(chan struct{})
	a := &asker{host: h, asked: asked, stop: make(chan struct{})}
	go a.loop()
	for range 200 {
		h.Restart()
		h.Kill()
	}
	close(a.stop)
	select {
	case <-asked:
	case <-time.After(10 * time.Second):
		t.Fatal("deadlock")
	}
}

// asker asks all the time which program a host runs.
type asker struct {
	host        *Host
	asked, stop chan struct{}
}

func (a *asker) loop() {
	defer close(a.asked)
	for {
		select {
		case <-a.stop:
			return
		default:
			a.host.Runs("true")
		}
	}
}
