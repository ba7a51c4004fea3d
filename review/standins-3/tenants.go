package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

const (
	unknownKey = "q81kzt04mmxw7ehd2vra"
	// applyTime is configApplyMs of a small deployment.
	applyTime = 2 * time.Second
	// keyRequests is the number of requests that are sent with a key that no config held.
	keyRequests = 10
)

// runTenants takes the keys of the last tenant away, together with the tenant, and sends
// requests with a key that no configuration ever held.
func runTenants(rec *record, trouble bool) (int, error) {
	d, err := newDeployment(rec, 5, 2)
	if err != nil {
		return cannot, err
	}
	defer d.close()
	f := &fleet{deployment: d, backAfter: backTime, behave: func(_ string, w http.ResponseWriter) bool {
		_, _ = w.Write([]byte("done"))
		return true
	}}
	if err := d.start(); err != nil {
		return cannot, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	op := newOperator(d)
	if err := op.put(ctx, newConfig(1, 110)); err != nil {
		return cannot, fmt.Errorf("first configuration: %w", err)
	}
	for i := range 3 {
		if err := f.startServer(i, 0); err != nil {
			return cannot, err
		}
	}
	time.Sleep(contactTime + time.Second)
	if status := send(d, d.entries[0], "known-key", bookRoute+"2f", soundBody); status != http.StatusOK {
		return cannot, fmt.Errorf("a request with a known key is answered %d", status)
	}
	if status := sendWithKey(d, d.entries[0], "unknown-before", bookRoute+"2f", soundBody, unknownKey); status != http.StatusUnauthorized {
		return cannot, fmt.Errorf("a request with an unknown key is answered %d before the change", status)
	}
	c := newConfig(2, 110)
	if trouble {
		c.Tenants = []map[string]any{}
	}
	if err := op.put(ctx, c); err != nil {
		return cannot, fmt.Errorf("second configuration: %w", err)
	}
	rec.printf("config 2 with %d tenants is acknowledged", len(c.Tenants))
	time.Sleep(applyTime + contactTime)
	before := len(f.allRuns())
	for i := range keyRequests {
		sendWithKey(d, d.entries[i%len(d.entries)], fmt.Sprintf("unknown-%d", i), bookRoute+"2f", soundBody, unknownKey)
	}
	ran := len(f.allRuns()) - before
	rec.printf("%d of %d requests with a key that no configuration ever held have run", ran, keyRequests)
	if ran > 0 {
		return broken, nil
	}
	return held, nil
}

// allRuns returns what the servers have run.
func (f *fleet) allRuns() []run {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]run(nil), f.runs...)
}
