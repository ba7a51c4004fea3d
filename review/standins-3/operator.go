package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// callTimeout is the time after which a caller of control moves on to another daemon.
const callTimeout = time.Second

// operator sends configurations and other calls to the machines that serve control.
type operator struct {
	deployment *deployment
	client     *http.Client
	next       int
}

func newOperator(d *deployment) *operator {
	return &operator{deployment: d, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

// call sends a call to one daemon after the other, with increasing backoff, until it is
// acknowledged or ctx ends. A 4xx ends it.
func (o *operator) call(ctx context.Context, method, path string, body []byte, timeout time.Duration) (status int, answer []byte, err error) {
	backoff := 20 * time.Millisecond
	for {
		control := o.deployment.controls[o.next%len(o.deployment.controls)]
		status, answer, err = o.callOne(ctx, control, method, path, body, timeout)
		if err == nil && status < http.StatusInternalServerError && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests {
			return status, answer, nil
		}
		o.next++
		select {
		case <-ctx.Done():
			return status, answer, fmt.Errorf("no acknowledgement of %s %s, last status %d, last error %w", method, path, status, ctx.Err())
		case <-time.After(backoff):
		}
		backoff = min(2*backoff, time.Second)
	}
}

// callOne sends a call to one daemon.
func (o *operator) callOne(ctx context.Context, control *machine, method, path string, body []byte, timeout time.Duration) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address(control.ip, o.deployment.ports.control)+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := o.client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	return response.StatusCode, answer, err
}

// route is a route of a configuration.
type route struct {
	Name            string `json:"name"`
	Host            string `json:"hostname"`
	Prefix          string `json:"pathPrefix"`
	Kind            string `json:"kind"`
	TimeoutMs       int    `json:"timeoutMs"`
	TargetLatencyMs int    `json:"targetLatencyMs"`
	Priority        int    `json:"priority"`
	Service         string `json:"service"`
	MaxAttempts     int    `json:"maxAttempts"`
	AllowAnonymous  bool   `json:"allowAnonymous"`
	SessionAffinity bool   `json:"sessionAffinity"`
}

// config is a configuration with plain services.
type config struct {
	Version  int              `json:"version"`
	Routes   []route          `json:"routes"`
	Services []map[string]any `json:"services"`
	Limits   map[string]int   `json:"limits"`
	Tenants  []map[string]any `json:"tenants"`
}

const (
	hostName  = "ficu95.example"
	apiKey    = "n2ctnfzs989anu6wsjnb"
	bookRoute = "/puxa403/"
	readRoute = "/pufi791/"
	appName   = "wuno96b"
)

// newConfig returns the configuration of a small deployment with some routes more, which
// no request uses.
func newConfig(version, more int) config {
	c := config{
		Version: version,
		Routes: []route{
			{Name: "r-book", Host: hostName, Prefix: bookRoute, Kind: "unsafe", TimeoutMs: 1000, TargetLatencyMs: 150, Priority: 2, Service: appName, MaxAttempts: 2},
			{Name: "r-read", Host: hostName, Prefix: readRoute, Kind: "safe", TimeoutMs: 1000, TargetLatencyMs: 150, Priority: 2, Service: appName, MaxAttempts: 2},
		},
		Services: []map[string]any{{"name": appName, "healthPath": "/health", "maxConnections": 110, "protocol": "h1", "tls": false, "coldS": 0, "coldPerS": 0}},
		Limits:   map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		Tenants:  []map[string]any{{"name": "hule930", "apiKeys": []string{apiKey}, "priority": 1}},
	}
	for i := range more {
		c.Routes = append(c.Routes, route{
			Name: fmt.Sprintf("r-%07d", i), Host: fmt.Sprintf("h%06d.example", i%40), Prefix: fmt.Sprintf("/p%06d/", i), Kind: "safe",
			TimeoutMs: 1000 + version%7, TargetLatencyMs: 150, Priority: 2, Service: appName, MaxAttempts: 2,
		})
	}
	return c
}

func (c config) encode() []byte {
	data, _ := json.Marshal(c)
	return data
}

// put sends a configuration until it is acknowledged.
func (o *operator) put(ctx context.Context, c config) error {
	body := c.encode()
	// Large bodies get more time.
	timeout := callTimeout + time.Duration(len(c.Routes))*3*time.Millisecond
	status, answer, err := o.call(ctx, http.MethodPut, "/api/config", body, timeout)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("config %d: status %d %s", c.Version, status, answer)
	}
	return err
}
