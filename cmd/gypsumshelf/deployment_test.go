package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"os/exec"
	"slices"
	"syscall"
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/operators"
	"gypsumshelf.example/gypsumshelf/standins"
)

// deployment is a set of running daemons. Their links may pass through relays.
type deployment struct {
	t         testing.TB
	daemons   []*testDaemon
	processes []*process
	relays    map[[2]int]*relay // by the dialing and the accepting daemon
}

// startDeployment starts n daemons and waits until they are ready. With relays,
// every link between them can be cut.
func startDeployment(t testing.TB, n int, relays bool) *deployment {
	t.Helper()
	d := &deployment{t: t, daemons: newTestDaemons(t, n), relays: map[[2]int]*relay{}}
	if relays {
		d.addRelays()
	}
	for _, td := range d.daemons {
		d.processes = append(d.processes, startDaemon(t, td))
	}
	for i := range d.daemons {
		d.waitReady(i)
	}
	return d
}

func (d *deployment) addRelays() {
	for i, td := range d.daemons {
		var peers []map[string]string
		for j, o := range d.daemons {
			address := o.addresses["peers"]
			if i != j {
				d.relays[[2]int{i, j}] = newRelay(d.t, address)
				address = d.relays[[2]int{i, j}].address()
			}
			peers = append(peers, map[string]string{"daemon": o.name, "address": address, "data-centre": o.dataCentre})
		}
		td.writeSettings(d.t, peers)
	}
}

// setCutOff cuts or restores all links of a daemon.
func (d *deployment) setCutOff(i int, cut bool) {
	for ends, r := range d.relays {
		if ends[0] == i || ends[1] == i {
			r.setCut(cut)
		}
	}
}

func (d *deployment) signal(i int, s syscall.Signal) {
	d.t.Helper()
	if err := d.processes[i].cmd.Process.Signal(s); err != nil {
		d.t.Fatal(err)
	}
}

func (d *deployment) restart(i int) {
	d.t.Helper()
	d.processes[i].kill()
	d.processes[i] = startDaemon(d.t, d.daemons[i])
}

// status returns a daemon's status, false if it does not answer.
func (td *testDaemon) status() (s operators.Status, ok bool) {
	client := http.Client{Timeout: 2 * time.Second}
	resp, err := client.Get("http://" + td.addresses["operators"] + "/status")
	if err != nil {
		return s, false
	}
	defer resp.Body.Close()
	return s, json.NewDecoder(resp.Body).Decode(&s) == nil
}

// readyz returns the status code of a daemon's /readyz, 0 if it does not answer.
func (td *testDaemon) readyz() int {
	client := http.Client{Timeout: 2 * time.Second}
	resp, err := client.Get("http://" + td.addresses["callers"] + "/readyz")
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

func (d *deployment) waitReady(i int) {
	d.t.Helper()
	d.daemons[i].waitReady(d.t)
}

func (d *deployment) waitRevision(i int, want gypsumshelf.Revision) {
	d.t.Helper()
	waitFor(d.t, d.daemons[i].name+" has the revision", func() bool {
		s, ok := d.daemons[i].status()
		return ok && s.Revision >= want
	})
}

// leader waits until all daemons except the given ones report the same leader,
// and returns its index.
func (d *deployment) leader(except ...int) int {
	d.t.Helper()
	skip := map[int]bool{}
	for _, i := range except {
		skip[i] = true
	}
	found := -1
	waitFor(d.t, "all daemons report the same leader", func() bool {
		var name gypsumshelf.DaemonID
		found = -1
		for i, td := range d.daemons {
			if skip[i] {
				continue
			}
			s, ok := td.status()
			if !ok || s.Leader == "" || name != "" && s.Leader != name {
				return false
			}
			name = s.Leader
		}
		for i, td := range d.daemons {
			if td.name == string(name) && !skip[i] {
				found = i
			}
		}
		return found >= 0
	})
	return found
}

// other returns the index of the first daemon that is not among the given ones.
func (d *deployment) other(excluded ...int) int {
	for i := range d.daemons {
		ok := true
		for _, n := range excluded {
			ok = ok && n != i
		}
		if ok {
			return i
		}
	}
	d.t.Fatal("no other daemon")
	return -1
}

// operatorResult is the outcome of an operator command run as a process.
type operatorResult struct {
	answer         operators.CommandResponse
	stdout, stderr string
	code           int
}

// runOperator runs an operator command that tries the given daemons in order.
// The output is JSON unless the arguments ask for another format.
func (d *deployment) runOperator(servers []int, args ...string) (r operatorResult) {
	d.t.Helper()
	for _, i := range servers {
		args = append(args, "--server", d.daemons[i].addresses["operators"])
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	if !slices.Contains(args, "--output") {
		args = append(args, "--output", "json")
	}
	cmd := exec.CommandContext(ctx, binary, args...)
	var stdout, stderr bytes.Buffer
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	err := cmd.Run()
	exit := new(exec.ExitError)
	if err != nil && !errors.As(err, &exit) {
		d.t.Fatalf("%v: %v", args, err)
	}
	r.stdout, r.stderr, r.code = stdout.String(), stderr.String(), cmd.ProcessState.ExitCode()
	_ = json.Unmarshal(stdout.Bytes(), &r.answer)
	return r
}

func (d *deployment) requireAccepted(r operatorResult) operatorResult {
	d.t.Helper()
	if r.code != 0 || !r.answer.Accepted {
		d.t.Fatalf("exit %d, answer %+v, stderr:\n%s", r.code, r.answer, r.stderr)
	}
	return r
}

// startEngines starts n stand-in engines in this process and waits until every
// daemon knows them.
func (d *deployment) startEngines(n int) *standins.Fleet {
	d.t.Helper()
	var addresses []string
	for _, td := range d.daemons {
		addresses = append(addresses, td.addresses["backend-servers"])
	}
	fleet, err := standins.NewFleet(standins.FleetConfig{
		Service: "federkiel", Engines: n, DaemonAddresses: addresses, AnnouncePeriod: 200 * time.Millisecond,
		DataCentres: []string{"wien-nord", "linz-hafen", "graz-sued"},
		Engine:      standins.EngineConfig{Model: "quill", PrefillRate: 2e6, TokenInterval: time.Millisecond, MemoryTokens: 1_500_000},
	})
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(fleet.Close)
	for _, td := range d.daemons {
		waitForServers(d.t, td, n)
	}
	return fleet
}
