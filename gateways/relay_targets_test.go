package gateways

import (
	"io"
	"slices"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"gypsumshelf.example/gypsumshelf/directories"
	"gypsumshelf.example/gypsumshelf/forwards"
)

// Guards against a daemon that cannot reach the leader through another one, and against
// connections that are relayed to addresses of other programs.
func TestControlDaemonsMayBeReachedThroughOthers(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	const control, other = "127.0.0.1:1", "127.0.0.1:2"
	feeds := directories.NewSubscriber(directories.SubscriberConfig{Seeds: []string{control}, Log: logrus.NewEntry(log), HandleView: func(string, directories.View) {}})
	feeds.Run()
	t.Cleanup(feeds.Close)
	targets := relayTargets{Fleet: forwards.NewFleet("a", time.Now), controls: feeds}
	if service, known := targets.ServiceAt(control); service != controlService || !known || !targets.UsableAt(control) {
		t.Errorf("a control daemon is service %q, known %v, want %q that may be used", service, known, controlService)
	}
	if !slices.Equal(targets.AddressesOf(controlService), []string{control}) {
		t.Errorf("control daemons are %v, want %s", targets.AddressesOf(controlService), control)
	}
	if _, known := targets.ServiceAt(other); known || targets.UsableAt(other) {
		t.Error("an unknown address may be used")
	}
}
