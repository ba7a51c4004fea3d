package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// waves of copies of one request are sent, waveSize at once and wavePause apart.
	waves     = 6
	waveSize  = 3
	wavePause = 4500 * time.Millisecond
	// workTime is the time for which a backend server works on a request.
	workTime = 30 * time.Millisecond
	// backTime is the time after which a crashed backend server is back.
	backTime = 3 * time.Second
	// maxLateRetries is what rule BUDGET allows of a request that crashes servers, later than
	// contactTime after it has crashed the third.
	maxLateRetries = 3
	// soundBeside is the number of sound requests that are sent with each wave.
	soundBeside = 8
	badBody     = "bad"
	soundBody   = "sound"
)

// runCopies sends a request that crashes each server that runs it, several copies at once
// and again.
func runCopies(rec *record, trouble bool) (int, error) {
	d, err := newDeployment(rec, 5, 4)
	if err != nil {
		return cannot, err
	}
	defer d.close()
	f := &fleet{deployment: d, backAfter: backTime, behave: func(body string, w http.ResponseWriter) bool {
		time.Sleep(workTime)
		if body == badBody && trouble {
			return false
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
	for wave := range waves {
		var wg sync.WaitGroup
		for i := range waveSize {
			wg.Go(func() {
				send(d, d.entries[i%len(d.entries)], fmt.Sprintf("bad-%d-%d", wave, i), bookRoute+"7c", badBody)
			})
		}
		// Sound requests of others run beside them.
		for i := range soundBeside {
			id := fmt.Sprintf("beside-%d-%d", wave, i)
			wg.Go(func() {
				if send(d, d.entries[i%len(d.entries)], id, bookRoute+"9d", soundBody+id) != http.StatusOK {
					f.lose()
				}
			})
		}
		wg.Wait()
		time.Sleep(wavePause)
	}
	return f.judgeRetries(), nil
}

// lose counts a sound request that was not answered with success.
func (f *fleet) lose() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lost++
}

// judgeRetries checks rule BUDGET for the request that crashes servers.
func (f *fleet) judgeRetries() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.crashes) < 3 {
		return held
	}
	late := 0
	for _, r := range f.runs {
		if r.body == badBody && r.at.After(f.crashes[2].Add(contactTime)) {
			late++
		}
	}
	f.deployment.record.printf("%d servers crashed, %d sound requests beside them were lost; %d retries reached servers later than %v after the third crash, %d are allowed",
		len(f.crashes), f.lost, late, contactTime, maxLateRetries)
	if late > maxLateRetries {
		return broken
	}
	return held
}
