package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["version"] = playVersion }

const (
	pinnedRequests = 12
	usualRequests  = 30
)

// playVersion sends usual streams and look-ups. With the disruption, a requester has sent
// streams before that ask for a version of the weights that no runner has.
func playVersion(d *deployment, trouble bool) error {
	if err := d.startAll(); err != nil {
		return err
	}
	for i := range pinnedRequests {
		header := map[string]string{headerTokens: "1000,400"}
		if trouble {
			header[headerVersion] = "2"
		}
		d.send(d.entries[i%2], http.MethodPost, "/draft/2f", fmt.Sprintf("pinned-%d", i), 10*time.Second, header)
		time.Sleep(100 * time.Millisecond)
	}
	// All backoffs of the daemons end within 8 s.
	time.Sleep(12 * time.Second)
	drafts, lookups := 0, 0
	for i := range usualRequests {
		m := d.entries[i%2]
		if d.send(m, http.MethodPost, "/draft/2f", fmt.Sprintf("draft-%d", i), 10*time.Second, map[string]string{headerTokens: "1000,400"}).status == http.StatusOK {
			drafts++
		}
		if d.send(m, http.MethodGet, "/lookup/2f", fmt.Sprintf("lookup-%d", i), time.Second, nil).status == http.StatusOK {
			lookups++
		}
		time.Sleep(200 * time.Millisecond)
	}
	d.rec.printf("%d of %d drafts and %d of %d look-ups were served", drafts, usualRequests, lookups, usualRequests)
	if 4*drafts < (drafts+lookups)/2 {
		return brokenf("Starved: %d of %d drafts were served, and %d of %d of all requests", drafts, usualRequests, drafts+lookups, 2*usualRequests)
	}
	return nil
}
