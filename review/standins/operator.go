package main

import (
	"cmp"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// operatorBackoff is the pause of the operator before it asks the next daemon.
const operatorBackoff = 100 * time.Millisecond

// order sends an order of the operator to one control machine and returns the status, 0
// without an answer within a second.
func (d *deployment) order(m *machine, method, path, body string) int {
	req, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", m.ip, controlPort, path), strings.NewReader(body))
	if err != nil {
		d.rec.printf("the order cannot be made: %v", err)
		return 0
	}
	return d.do(m, d.operator, req, path)
}

// do sends an order and returns the status of its answer, 0 without one.
func (d *deployment) do(m *machine, client *http.Client, req *http.Request, path string) int {
	d.rec.printf("operator sends %s %s to %s", req.Method, path, m.name)
	resp, err := client.Do(req)
	if err != nil {
		d.rec.printf("operator gets no answer to %s %s from %s: %v", req.Method, path, m.name, err)
		return 0
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	d.rec.printf("%s answers %s %s with %d %.80q", m.name, req.Method, path, resp.StatusCode, text)
	return resp.StatusCode
}

// orderUntilDone sends an order to the machines in turn until one acknowledges it, and
// returns the time of the acknowledgement.
func (d *deployment) orderUntilDone(machines []*machine, method, path, body string, limit time.Duration) (time.Time, error) {
	for i, end := 0, time.Now().Add(limit); time.Now().Before(end); i++ {
		if status := d.order(machines[i%len(machines)], method, path, body); status >= 200 && status < 300 {
			return time.Now(), nil
		}
		time.Sleep(operatorBackoff)
	}
	return time.Time{}, fmt.Errorf("%s %s was not acknowledged within %v", method, path, limit)
}

const evacuationPath = "/api/evacuations/"

// configText is a config with one safe, one unsafe and one stream route.
const configText = `{"version":%d,"routes":[
{"name":"r-safe","hostname":"order.example","pathPrefix":"/lookup/","kind":"safe","timeoutMs":1000,"targetLatencyMs":150,"priority":2,"service":"auftragsbuch","maxAttempts":2,"allowAnonymous":false,"sessionAffinity":false,"streamResume":false},
{"name":"r-unsafe","hostname":"order.example","pathPrefix":"/post/","kind":"unsafe","timeoutMs":1000,"targetLatencyMs":150,"priority":2,"service":"auftragsbuch","maxAttempts":2,"allowAnonymous":false,"sessionAffinity":false,"streamResume":false},
{"name":"r-stream","hostname":"order.example","pathPrefix":"/draft/","kind":"stream","timeoutMs":10000,"targetLatencyMs":300,"priority":1,"service":"federkiel","maxAttempts":2,"allowAnonymous":false,"sessionAffinity":true,"streamResume":true,"gapTargetMs":200}],
"services":[
{"name":"federkiel","healthPath":"/health","maxConnections":314,"protocol":"h1","tls":false,"coldS":3.0,"coldPerS":26.0,"engine":{"slots":16,"kvCapacityTokens":450000,"kvTokenBytes":327680,"linkMbps":400000.0,"stride":46,"models":[{"name":"m"}],"step_ms":0.925,"per_seq_ms":0.00483,"context_per_k":0.00254,"read_per_s":256000.0,"pairs_per_m":0.0917,"chunk":2048,"report_lag_ms":200.0,"usual":{"prompt":13239,"answer":1540},"hopMs":0.1}},
{"name":"auftragsbuch","healthPath":"/health","maxConnections":110,"protocol":"h1","tls":false,"coldS":0.0,"coldPerS":0.0}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"abbey","apiKeys":["key-of-abbey"],"priority":1},{"name":"parish","apiKeys":["key-of-parish"],"priority":1}]}`

// configure sends the first config until it is acknowledged, and waits until the entry
// machines are ready.
func (d *deployment) configure(limit time.Duration) error {
	if _, err := d.orderUntilDone(d.controls, http.MethodPut, "/api/config", fmt.Sprintf(cmp.Or(d.config, configText), 1), limit); err != nil {
		return err
	}
	return d.ready(limit)
}

// startLimit bounds the start of a deployment, and settleTime is the time after it in
// which all runners have registered.
const (
	startLimit = 20 * time.Second
	settleTime = 2 * time.Second
)

// startAll starts five control and two entry machines, three runners of the order book
// and six of the model, and sends the first config.
func (d *deployment) startAll() error {
	if err := d.start(5, 2); err != nil {
		return err
	}
	if err := d.addRunners(serviceOrders, 3); err != nil {
		return err
	}
	if err := d.addRunners(serviceModel, 6); err != nil {
		return err
	}
	if err := d.configure(startLimit); err != nil {
		return err
	}
	time.Sleep(settleTime)
	return nil
}
