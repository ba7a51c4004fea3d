package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// answer is what a requester gets, with status 0 without an answer.
type answer struct {
	status int
	body   string
	seal   string
	err    error
}

// send sends a request of the tenant abbey to an entry machine on a new channel.
func (d *deployment) send(m *machine, method, path, id string, limit time.Duration, header map[string]string) answer {
	req, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", m.ip, callerPort, path), strings.NewReader(""))
	if err != nil {
		return answer{err: err}
	}
	req.Host = "order.example"
	req.Header.Set(headerRequest, id)
	req.Header.Set(headerDeadline, fmt.Sprint(limit.Milliseconds()))
	req.Header.Set("Authorization", "Bearer key-of-abbey")
	for name, value := range header {
		req.Header.Set(name, value)
	}
	client := &http.Client{Timeout: limit, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	a := answer{}
	resp, err := client.Do(req)
	if err == nil {
		defer resp.Body.Close()
		var data []byte
		data, err = io.ReadAll(resp.Body)
		a.status, a.body, a.seal = resp.StatusCode, string(data), resp.Header.Get(headerSeal)
	}
	a.err = err
	d.rec.printf("requester gets %d, seal %q, %.60q, error %v for %s %s %s at %s", a.status, a.seal, a.body, err, method, path, id, m.name)
	return a
}
