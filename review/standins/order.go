package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() { cases["order"] = playOrder }

// playOrder sends streams. With the disruption, the ids of a runner's events count from 0
// and not from 1.
func playOrder(d *deployment, trouble bool) error {
	if err := d.startAll(); err != nil {
		return err
	}
	d.idsFromZero = trouble
	wrong := 0
	for i := range 20 {
		id := fmt.Sprintf("draft-%d", i)
		a := d.send(d.entries[i%2], http.MethodPost, "/draft/2f", id, 10*time.Second, map[string]string{headerTokens: "1000,400"})
		if n := strings.Count(a.body, "data: "+id+"\n"); a.status == http.StatusOK && a.err == nil && n != streamEvents {
			d.rec.printf("the stream %s ended as complete with %d of %d events", id, n, streamEvents)
			wrong++
		}
	}
	if wrong > 0 {
		return brokenf("ORDER: %d of 20 streams ended as complete and lack an event", wrong)
	}
	return nil
}
