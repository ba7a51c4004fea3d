package main

import (
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"
)

// Guards against a stop signal that is dropped while signals to reload wait, as when the
// settings file is slow to read: the daemon would not drain, and be killed.
func TestStopSignalIsKeptWhileReloadsWait(t *testing.T) {
	signals := notifyHost()
	t.Cleanup(func() { signal.Stop(signals.stop); signal.Stop(signals.reload) })
	for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM} {
		if err := syscall.Kill(os.Getpid(), s); err != nil {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Millisecond) // equal signals that wait in the kernel become one
	}
	assertSignal(t, signals.stop, syscall.SIGTERM)
	assertSignal(t, signals.reload, syscall.SIGHUP)
}

func assertSignal(t *testing.T, signals <-chan os.Signal, want os.Signal) {
	t.Helper()
	select {
	case got := <-signals:
		if got != want {
			t.Errorf("got %v, want %v", got, want)
		}
	case <-time.After(time.Second):
		t.Errorf("got no signal, want %v", want)
	}
}
