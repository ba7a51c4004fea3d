package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

func init() { cases["deadly"] = playDeadly }

const (
	headerParts = "X-Gypsumshelf-Prompt-Prefix"
	// deadlyBody is the body that crashes each runner that begins to run it.
	deadlyBody = "deadly"
	// runnerBack is the time after which a crashed runner is back.
	runnerBack = 3 * time.Second
	// deadlyPeriod is the time after which the request comes again, for 20 s in all.
	deadlyPeriod = 2800 * time.Millisecond
	deadlyCount  = 7
	// maxDeadlyRetries is the number of retries of the rule BUDGET.
	maxDeadlyRetries = 3
	contactBound     = 3 * time.Second // contactMs
)

// playDeadly sends usual streams. With the disruption, one request that crashes each
// runner that begins to run it comes again and again, with the same path, caller and body,
// each time in another session. With SESSION=same it comes in one session, for comparison.
func playDeadly(d *deployment, trouble bool) error {
	if err := d.startAll(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wg sync.WaitGroup
	for i := range 4 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; ctx.Err() == nil; n++ {
				id := fmt.Sprintf("usual-%d-%d", i, n)
				d.sendBody(d.entries[n%2], "/draft/2f", id, "usual "+id, map[string]string{headerTokens: "1000,400", headerParts: fmt.Sprintf("aa11:40,%x:960", id)})
			}
		}()
	}
	for n := range deadlyCount {
		time.Sleep(deadlyPeriod)
		body := deadlyBody
		if !trouble {
			body = "harmless"
		}
		session := n
		if os.Getenv("SESSION") == "same" {
			session = 0
		}
		// The last part belongs to the session in which the request is sent.
		d.sendBody(d.entries[n%2], "/draft/2f", fmt.Sprintf("deadly-%d", n), body, map[string]string{headerTokens: "1000,400", headerParts: fmt.Sprintf("aa11:40,5e55%04x:960", session)})
	}
	cancel()
	wg.Wait()
	return d.judgeDeadly()
}

// judgeDeadly counts the arrivals of the deadly request that were sent later than
// contactMs after its third crash.
func (d *deployment) judgeDeadly() error {
	d.crashMu.Lock()
	defer d.crashMu.Unlock()
	if len(d.crashes) < 3 {
		return nil
	}
	third := d.crashes[2].at
	late := 0
	for _, c := range d.crashes {
		if c.at.After(third.Add(contactBound)) {
			late++
		}
	}
	d.rec.printf("the request crashed %d runners, %d of them later than %v after the third", len(d.crashes), late, contactBound)
	if late > maxDeadlyRetries {
		return brokenf("BUDGET: a request that crashes runners reached runners %d times later than %v after it had crashed the third, the bound is %d", late, contactBound, maxDeadlyRetries)
	}
	return nil
}

// crash ends the runner, with all its channels, and starts it again with another id.
func (r *runner) crash(id string) {
	d := r.deployment
	d.crashMu.Lock()
	d.crashes = append(d.crashes, run{id: id, runner: r, at: time.Now()})
	d.lifetimes++
	next := fmt.Sprintf("i-%s-life-%d", r.service, d.lifetimes)
	d.crashMu.Unlock()
	d.rec.printf("runner %s crashes while it runs %s", r.id, id)
	r.close()
	time.AfterFunc(runnerBack, func() {
		d.crashMu.Lock()
		defer d.crashMu.Unlock()
		if d.closed {
			return
		}
		again := &runner{deployment: d, id: next, service: r.service, zone: r.zone, address: r.address, born: time.Now().UnixMilli()}
		l, err := net.Listen("tcp", again.address)
		if err != nil {
			d.rec.printf("runner %s cannot start: %v", next, err)
			return
		}
		d.rec.printf("runner %s starts at the address of %s", next, r.id)
		again.serve(l)
		d.reborn = append(d.reborn, again)
	})
}

// sendBody sends a stream request of the tenant abbey with a body.
func (d *deployment) sendBody(m *machine, path, id, body string, header map[string]string) answer {
	req, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d%s", m.ip, callerPort, path), strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	req.Host = "order.example"
	req.Header.Set(headerRequest, id)
	req.Header.Set(headerDeadline, "10000")
	req.Header.Set("Authorization", "Bearer key-of-abbey")
	for name, value := range header {
		req.Header.Set(name, value)
	}
	client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	a := answer{}
	resp, err := client.Do(req)
	if err == nil {
		defer resp.Body.Close()
		var data []byte
		data, err = io.ReadAll(resp.Body)
		a.status, a.body, a.seal = resp.StatusCode, string(data), resp.Header.Get(headerSeal)
	}
	a.err = err
	d.rec.printf("requester gets %d, seal %q, %.60q, error %v for %s with %q at %s", a.status, a.seal, a.body, err, id, header[headerParts], m.name)
	return a
}
