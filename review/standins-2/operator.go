package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// operator calls the operator's API of the control machines.
type operator struct {
	platform *platform
	client   *http.Client
}

func newOperator(p *platform, timeout time.Duration) *operator {
	return &operator{platform: p, client: &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// put sends a config until it is acknowledged or the time is over. It moves on to another
// daemon after each failure.
func (o *operator) put(document []byte, limit time.Duration) error {
	return o.call(http.MethodPut, "/api/config", document, limit)
}

// call sends an order until it is acknowledged or the time is over.
func (o *operator) call(method, path string, body []byte, limit time.Duration) error {
	controls := o.platform.ofRole("control")
	next := rand.IntN(len(controls))
	var last error
	for end := time.Now().Add(limit); time.Now().Before(end); next++ {
		m := controls[next%len(controls)]
		status, _, err := o.send(m, method, path, body)
		switch {
		case err == nil && status == http.StatusOK:
			o.platform.record.printf("operator: %s %s of %d bytes acknowledged by %s", method, path, len(body), m.name)
			return nil
		case err == nil && status >= 400 && status < 500:
			return fmt.Errorf("%s %s at %s: status %d", method, path, m.name, status)
		case err == nil:
			err = fmt.Errorf("status %d", status)
		}
		last = fmt.Errorf("%s %s at %s: %w", method, path, m.name, err)
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("not acknowledged in %v: %w", limit, last)
}

// send sends one call to one machine.
func (o *operator) send(m *machine, method, path string, body []byte) (int, []byte, error) {
	url := "http://" + net.JoinHostPort(m.ip, strconv.Itoa(o.platform.ports.control)) + path
	request, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	response, err := o.client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, data, err
}

const (
	changeGap     = 62 * time.Millisecond // config_storm, the smallest gap of the site file is 60 ms
	changeTimeout = 3 * time.Second       // of one call; large bodies take more than a second
	maxOrders     = 8                     // in progress at once, of the pages
)

// storm sends one config after the other until a time has come or done returns true. next
// returns the version and the document. Changes are not given up before they have an
// acknowledgement.
func (o *operator) storm(end time.Time, next func() (version int, document []byte), done func() bool) {
	var wg sync.WaitGroup
	inProgress := make(chan struct{}, maxOrders)
	tick := time.NewTicker(changeGap)
	defer tick.Stop()
	for time.Now().Before(end) && !done() {
		<-tick.C
		inProgress <- struct{}{}
		version, document := next()
		wg.Go(func() {
			if err := o.put(document, 8*time.Second); err != nil {
				o.platform.record.printf("operator: config %d: %v", version, err)
			}
			<-inProgress
		})
	}
	wg.Wait()
}

// object is a JSON object.
type object = map[string]any

// engineService and plainService are the services of all configs.
const (
	engineService = "huvo11a"
	plainService  = "wuno96b"
)

// encoded returns an object as JSON.
func encoded(o object) json.RawMessage {
	data, err := json.Marshal(o)
	if err != nil {
		panic(err)
	}
	return data
}

// route returns a route like those of the example on the page.
func route(name, host, prefix, kind, service string, timeoutMs int) json.RawMessage {
	return encoded(object{
		"name": name, "hostname": host, "pathPrefix": prefix, "kind": kind, "timeoutMs": timeoutMs, "targetLatencyMs": 300, "priority": 1,
		"service": service, "maxAttempts": 2, "allowAnonymous": false, "sessionAffinity": true, "streamResume": kind == "stream", "gapTargetMs": 200,
	})
}

// shortRoute returns a route for plain requests, without the fields of streams.
func shortRoute(name, host, prefix, service string, timeoutMs int) json.RawMessage {
	return encoded(object{
		"name": name, "hostname": host, "pathPrefix": prefix, "kind": "safe", "timeoutMs": timeoutMs, "targetLatencyMs": 300, "priority": 1,
		"service": service, "maxAttempts": 2, "allowAnonymous": false,
	})
}

// services returns the services of the example on the page.
func services() []object {
	return []object{
		{"name": engineService, "healthPath": "/health", "maxConnections": 334, "protocol": "h1", "tls": false, "coldS": 3.0, "coldPerS": 36.0, "engine": object{
			"slots": 16, "kvCapacityTokens": 450000, "kvTokenBytes": 327680, "linkMbps": 400000.0, "stride": 46, "models": []object{{"name": "m"}},
			"step_ms": 0.925, "per_seq_ms": 0.00483, "context_per_k": 0.00254, "read_per_s": 256000.0, "pairs_per_m": 0.0917, "chunk": 2048, "report_lag_ms": 200.0,
			"loadsPerS": 0.0, "loads_at_once": 8, "usual": object{"prompt": 13239, "answer": 1540}, "hopMs": 0.1,
		}},
		{"name": plainService, "healthPath": "/health", "maxConnections": 48, "protocol": "h1", "tls": false, "coldS": 0.0, "coldPerS": 0.0},
	}
}

// config returns a complete config.
func config(version int, routes []json.RawMessage, tenants []object) []byte {
	return encoded(object{
		"version": version, "routes": routes, "services": services(), "tenants": tenants,
		"limits": object{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
}
