package main

import (
	"encoding/json"
	"os/exec"
	"syscall"
	"testing"

	"gypsumshelf.example/gypsumshelf/loadtests"
)

// Guards against load and stand-ins commands that work only within one process,
// and against stand-ins that exit on SIGTERM with requests in progress, which they
// report by their exit status.
func TestLoadThroughProcesses(t *testing.T) {
	daemons := newTestDaemons(t, 3)
	standIns := []string{"stand-ins", "--engines", "3"}
	args := []string{"load", "--output", "json", "--duration", "2s", "--rate", "20", "--short-only", "--whole-share", "0.2"}
	for _, td := range daemons {
		startProcess(t, "serve", "--config", td.settingsFile)
		standIns = append(standIns, "--daemon", td.addresses["backend-servers"])
		args = append(args, "--server", td.addresses["callers"])
	}
	fleet := startProcess(t, standIns...)
	for _, td := range daemons {
		waitForServers(t, td, 3)
	}
	out, err := exec.Command(binary, args...).Output()
	if err != nil {
		t.Fatalf("load: %v\n%s", err, out)
	}
	var report loadtests.Report
	if err := json.Unmarshal(out, &report); err != nil {
		t.Fatalf("report: %v\n%s", err, out)
	}
	if report.Whole == 0 || report.Whole != report.Requests {
		t.Errorf("got %d whole answers of %d requests: %+v", report.Whole, report.Requests, report.Failures)
	}
	if err := fleet.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := fleet.cmd.Wait(); err != nil {
		t.Errorf("stand-ins after SIGTERM: %v", err)
	}
}
