package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["failback"] = playFailback }

const (
	// coldTime and coldRate are coldS and coldPerS of the order book in this case, the
	// figures of the site for its model.
	coldTime = 3 * time.Second
	coldRate = 26
	// coldBound is coldPerS x coldBurstFactor + coldSlack.
	coldBound = coldRate*1.5 + 5
	// Each of the requesters sends a request each requestPeriod, 180 a second in all.
	requesters    = 45
	requestPeriod = 250 * time.Millisecond
	// crashRate is a rate well above coldRate, at which a cold runner crashes.
	crashRate = 2 * coldRate
	// coldLead is the time by which a runner is cold before its zone is taken back.
	coldLead = 200 * time.Millisecond
)

// playFailback evacuates a zone under a steady load and takes it back. Its runner has become
// cold before: shortly before with the disruption, and else so early that a ping has said so.
func playFailback(d *deployment, trouble bool) error {
	d.config = strings.ReplaceAll(configText, `"coldS":0.0,"coldPerS":0.0`, fmt.Sprintf(`"coldS":%.1f,"coldPerS":%d`, coldTime.Seconds(), coldRate))
	if err := d.startAll(); err != nil {
		return err
	}
	time.Sleep(coldTime)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wg sync.WaitGroup
	for i := range requesters {
		wg.Add(1)
		go func() {
			defer wg.Done()
			d.requestLoop(ctx, i)
		}()
	}
	zone, r := d.runners[0].zone, d.runners[0]
	if _, err := d.orderUntilDone(d.controls, http.MethodPost, evacuationPath+zone, "", 5*time.Second); err != nil {
		return err
	}
	time.Sleep(evacuateBound)
	<-r.nextPing() // the next one is a heartbeat away
	r.makeCold(coldTime)
	if trouble {
		time.Sleep(coldLead)
	} else {
		<-r.nextPing()
	}
	if _, err := d.orderUntilDone(d.controls, http.MethodDelete, evacuationPath+zone, "", 5*time.Second); err != nil {
		return err
	}
	time.Sleep(coldTime)
	cancel()
	wg.Wait()
	most, from := r.mostInOneSecond()
	d.rec.printf("while it was cold, runner %s got %d requests at most within a second; the bound is %.0f", r.id, most, coldBound)
	if float64(most) > coldBound {
		return brokenf("FAILBACK: the cold runner %s got %d requests within the second from %v after it became cold, the bound is %.0f", r.id, most, from.Round(time.Millisecond), coldBound)
	}
	return nil
}

// requestLoop sends look-ups and, each third time, a booking until ctx ends.
func (d *deployment) requestLoop(ctx context.Context, n int) {
	time.Sleep(requestPeriod * time.Duration(n) / requesters)
	for i := 0; ctx.Err() == nil; i++ {
		next := time.Now().Add(requestPeriod)
		m := d.entries[(n+i)%len(d.entries)]
		if i%3 == 0 {
			d.send(m, http.MethodPost, "/post/2f", fmt.Sprintf("booking-%d-%d", n, i), time.Second, nil)
		} else {
			d.send(m, http.MethodGet, "/lookup/2f", fmt.Sprintf("lookup-%d-%d", n, i), time.Second, nil)
		}
		time.Sleep(time.Until(next))
	}
}

// overloaded reports whether the runner is cold and has got more than crashRate requests
// within a second.
func (r *runner) overloaded() bool {
	if r.coldFor() == 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, one := range r.runs {
		if !one.at.Before(r.coldAt) && time.Since(one.at) < time.Second {
			n++
		}
	}
	return n > crashRate
}

// makeCold makes the runner cold for a time.
func (r *runner) makeCold(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.coldAt, r.coldUntil = time.Now(), time.Now().Add(d)
	r.deployment.rec.printf("runner %s becomes cold for %v", r.id, d)
}

// coldFor returns the time for which the runner stays cold.
func (r *runner) coldFor() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(0, time.Until(r.coldUntil))
}

// nextPing returns a channel that is closed when the next ping was acknowledged.
func (r *runner) nextPing() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pinged = make(chan struct{})
	return r.pinged
}

// recordPing closes the channel of nextPing.
func (r *runner) recordPing() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pinged != nil {
		close(r.pinged)
		r.pinged = nil
	}
}

// mostInOneSecond returns the most requests that the runner got in a second in which it
// was cold, and when that second began after it became cold.
func (r *runner) mostInOneSecond() (most int, from time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, first := range r.runs {
		n := 0
		for _, one := range r.runs {
			if since := one.at.Sub(first.at); since >= 0 && since < time.Second && one.at.Before(r.coldUntil) && !first.at.Before(r.coldAt) {
				n++
			}
		}
		if n > most {
			most, from = n, first.at.Sub(r.coldAt)
		}
	}
	return most, from
}
