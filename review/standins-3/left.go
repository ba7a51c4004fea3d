package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"time"
)

const (
	// leftCopies copies of one request are sent, leftPause apart.
	leftCopies = 12
	leftPause  = 2500 * time.Millisecond
	// leaveAfter is half of the route's objective, after which its requester leaves.
	leaveAfter = 75 * time.Millisecond
	// crashAfter is the time for which a server works on the request before it crashes.
	crashAfter = 150 * time.Millisecond
)

// runLeft sends a request that crashes each server that runs it again and again. Its
// requester leaves before the crash. With STAY=1 it stays, for comparison.
func runLeft(rec *record, trouble bool) (int, error) {
	d, err := newDeployment(rec, 5, 4)
	if err != nil {
		return cannot, err
	}
	defer d.close()
	f := &fleet{deployment: d, backAfter: backTime, behave: func(body string, w http.ResponseWriter) bool {
		if body == badBody {
			time.Sleep(crashAfter)
			if trouble {
				return false
			}
		}
		_, _ = w.Write([]byte("done"))
		return true
	}}
	if err := d.start(); err != nil {
		return cannot, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if err := newOperator(d).put(ctx, newConfig(1, 110)); err != nil {
		return cannot, fmt.Errorf("first configuration: %w", err)
	}
	for i := range 8 {
		if err := f.startServer(i, 0); err != nil {
			return cannot, err
		}
	}
	time.Sleep(contactTime + time.Second)
	for i := range 20 {
		if status := send(d, d.entries[i%len(d.entries)], fmt.Sprintf("sound-%d", i), bookRoute+"2f", soundBody); status != http.StatusOK {
			return cannot, fmt.Errorf("a sound request is answered %d", status)
		}
	}
	patience := leaveAfter
	if os.Getenv("STAY") == "1" {
		patience = usualPatience
	}
	for i := range leftCopies {
		c := call{id: fmt.Sprintf("bad-%d", i), path: bookRoute + "7c", body: badBody, key: apiKey, patience: patience}
		c.send(d, d.entries[i%len(d.entries)])
		time.Sleep(leftPause)
	}
	return f.judgeRetries(), nil
}
