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
	t       testing.TB
	members []*member
	daemons []*process
	relays  map[[2]int]*relay // by the dialing and the accepting daemon
}

// startDeployment starts n daemons and waits until they are ready. With relays,
// every link between them can be cut.
func startDeployment(t testing.TB, n int, relays bool) *deployment {
	t.Helper()
	d := &deployment{t: t, members: newDeployment(t, n), relays: map[[2]int]*relay{}}
	if relays {
		d.addRelays()
	}
	for _, m := range d.members {
		d.daemons = append(d.daemons, startProcess(t, "serve", "--config", m.file))
	}
	for i := range d.members {
		d.waitFresh(i)
	}
	return d
}

func (d *deployment) addRelays() {
	for i, m := range d.members {
		var peers []map[string]string
		for j, o := range d.members {
			address := o.addresses["peers"]
			if i != j {
				d.relays[[2]int{i, j}] = newRelay(d.t, address)
				address = d.relays[[2]int{i, j}].address()
			}
			peers = append(peers, map[string]string{"daemon": o.name, "address": address, "data-centre": o.dataCentre})
		}
		m.writeSettings(d.t, peers)
	}
}

// cutOff cuts or restores all links of a daemon.
func (d *deployment) cutOff(i int, cut bool) {
	for ends, r := range d.relays {
		if ends[0] == i || ends[1] == i {
			r.setCut(cut)
		}
	}
}

func (d *deployment) signal(i int, s syscall.Signal) {
	d.t.Helper()
	if err := d.daemons[i].cmd.Process.Signal(s); err != nil {
		d.t.Fatal(err)
	}
}

func (d *deployment) restart(i int) {
	d.t.Helper()
	d.daemons[i].kill()
	d.daemons[i] = startProcess(d.t, "serve", "--config", d.members[i].file)
}

// status returns a daemon's status, false if it does not answer.
func (m *member) status() (s operators.Status, ok bool) {
	client := http.Client{Timeout: 2 * time.Second}
	resp, err := client.Get("http://" + m.addresses["operators"] + "/status")
	if err != nil {
		return s, false
	}
	defer resp.Body.Close()
	return s, json.NewDecoder(resp.Body).Decode(&s) == nil
}

// readyz returns the status code of a daemon's /readyz, 0 if it does not answer.
func (m *member) readyz() int {
	client := http.Client{Timeout: 2 * time.Second}
	resp, err := client.Get("http://" + m.addresses["callers"] + "/readyz")
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

func (d *deployment) waitFresh(i int) {
	d.t.Helper()
	waitFor(d.t, d.members[i].name+" is ready", func() bool { return d.members[i].readyz() == http.StatusOK })
}

func (d *deployment) waitRevision(i int, want gypsumshelf.Revision) {
	d.t.Helper()
	waitFor(d.t, d.members[i].name+" has the revision", func() bool {
		s, ok := d.members[i].status()
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
		for i, m := range d.members {
			if skip[i] {
				continue
			}
			s, ok := m.status()
			if !ok || s.Leader == "" || name != "" && s.Leader != name {
				return false
			}
			name = s.Leader
		}
		for i, m := range d.members {
			if m.name == string(name) && !skip[i] {
				found = i
			}
		}
		return found >= 0
	})
	return found
}

// other returns the index of the first daemon that is not among the given ones.
func (d *deployment) other(not ...int) int {
	for i := range d.members {
		ok := true
		for _, n := range not {
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
	answer         operators.Answer
	stdout, stderr string
	code           int
}

// operator runs an operator command that tries the given daemons in order. The
// output is JSON unless the arguments ask for another.
func (d *deployment) operator(servers []int, args ...string) (r operatorResult) {
	d.t.Helper()
	for _, i := range servers {
		args = append(args, "--server", d.members[i].addresses["operators"])
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

func (d *deployment) accepted(r operatorResult) operatorResult {
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
	for _, m := range d.members {
		addresses = append(addresses, m.addresses["backend-servers"])
	}
	fleet, err := standins.NewFleet(standins.FleetConfig{
		Service: "federkiel", Engines: n, Daemons: addresses, Period: 200 * time.Millisecond,
		DataCentres: []string{"wien-nord", "linz-hafen", "graz-sued"},
		Engine:      standins.EngineConfig{Model: "quill", PrefillRate: 2e6, TokenInterval: time.Millisecond, MemoryTokens: 1_500_000},
	})
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(fleet.Close)
	for _, m := range d.members {
		waitReady(d.t, m, n)
	}
	return fleet
}
