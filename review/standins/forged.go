package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() { cases["forged"] = playForged }

// playForged sends streams, which only runners of the model may run. With the disruption,
// another writer has sent a ping with the id of a runner of the order book, in which born
// is a text.
func playForged(d *deployment, trouble bool) error {
	if err := d.startAll(); err != nil {
		return err
	}
	r := d.runners[0]
	if trouble {
		body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":16,"state":"ready","coldRemainingMs":0,"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"sequence":1,"born":"%d"}`,
			serviceModel, r.address, r.zone, time.Now().UnixMilli())
		d.rec.printf("another writer's ping: %s", body)
		d.order(d.controls[1], http.MethodPut, "/api/instances/"+r.id, body)
	}
	time.Sleep(time.Second)
	for i := range 60 {
		d.send(d.entries[i%2], http.MethodPost, "/draft/2f", fmt.Sprintf("draft-%d", i), 10*time.Second, map[string]string{headerTokens: "1000,400"})
	}
	wrong := 0
	for _, r := range d.runners {
		r.mu.Lock()
		for _, one := range r.runs {
			if r.service != serviceModel && strings.HasPrefix(one.id, "draft-") {
				wrong++
			}
		}
		r.mu.Unlock()
	}
	if wrong > 0 {
		return brokenf("ROUTE: %d of 60 requests of a route to %s were run by a runner of %s", wrong, serviceModel, serviceOrders)
	}
	return nil
}
