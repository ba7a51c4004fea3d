package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() { cases["interim"] = playInterim }

// playInterim sends unsafe requests. With the disruption, runners send the interim
// response 102 of HTTP/1.1 before the final one.
func playInterim(d *deployment, trouble bool) error {
	if err := d.startAll(); err != nil {
		return err
	}
	d.interim = trouble
	wrong := 0
	for i := range bookings {
		id := fmt.Sprintf("booking-%d", i)
		a := d.send(d.entries[i%len(d.entries)], http.MethodPost, "/post/2f", id, time.Second, nil)
		if a.status/100 == 2 && !strings.HasSuffix(a.body, "to "+id) {
			wrong++
		}
		time.Sleep(50 * time.Millisecond)
	}
	if wrong > 0 {
		return brokenf("MIXED: %d of %d bookings got a success with a body that is not the runner's", wrong, bookings)
	}
	return nil
}
