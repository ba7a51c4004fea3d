package soaks

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// ServerFault is a way in which a fake backend server misbehaves.
type ServerFault int

// Faults of backend servers.
const (
	NoServerFault    ServerFault = iota
	SecondAnswer                 // a second copy of the answer follows late on the connection
	EndlessHeader                // a header that does not end
	EndlessBody                  // a body that does not end
	DrippingStream               // comments now and then in place of the answer
	serverFaultKinds             // number of faults
)

// String returns the kebab-case name used in logs.
func (f ServerFault) String() string {
	return [...]string{"none", "second-answer", "endless-header", "endless-body", "dripping-stream"}[f]
}

// RandomServerFault returns any fault, or none.
func RandomServerFault(r *rand.Rand) ServerFault { return ServerFault(r.IntN(int(serverFaultKinds))) }

// Answers reports whether the fault replaces the answer of a server. Only answers of
// plain services are sent twice.
func (f ServerFault) Answers(plain bool) bool {
	return f != NoServerFault && (f != SecondAnswer || plain)
}

const (
	// maxFloodBytes ends a flood if its client does not close the connection. It is
	// more than a daemon may take of one response.
	maxFloodBytes = 128 << 20
	// secondAnswerDelay is the time after an answer at which its copy is sent.
	secondAnswerDelay = 100 * time.Millisecond
	dripPeriod        = 200 * time.Millisecond
	maxDrips          = 100
)

// Misbehaviour is the fault of a server for some time.
type Misbehaviour struct {
	mu    sync.Mutex
	fault ServerFault
	end   time.Time
}

// Set sets the fault for the duration d.
func (m *Misbehaviour) Set(fault ServerFault, d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fault, m.end = fault, time.Now().Add(d)
}

// Current returns the fault at present.
func (m *Misbehaviour) Current() ServerFault {
	m.mu.Lock()
	defer m.mu.Unlock()
	if time.Now().After(m.end) {
		return NoServerFault
	}
	return m.fault
}

// Serve answers a request in the way of the fault. header holds the header lines of
// the response, and body the correct body.
func (f ServerFault) Serve(w http.ResponseWriter, header, body string) error {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return err
	}
	defer conn.Close()
	header = "HTTP/1.1 200 OK\r\n" + header
	switch f {
	case SecondAnswer:
		text := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", header, len(body), body)
		send(conn, text)
		time.Sleep(secondAnswerDelay)
		send(conn, text)
	case EndlessHeader:
		flood(conn, header+"X-Filler: ")
	case EndlessBody:
		flood(conn, header+"\r\n")
	case DrippingStream:
		send(conn, header+"Content-Type: text/event-stream\r\n\r\n")
		for range maxDrips {
			time.Sleep(dripPeriod)
			if !send(conn, ":\n\n") {
				return nil
			}
		}
	}
	return nil
}

// flood sends text and then bytes without end.
func flood(conn net.Conn, text string) {
	block := make([]byte, 64<<10)
	for i := range block {
		block[i] = 'a'
	}
	if !send(conn, text) {
		return
	}
	for sent := 0; sent < maxFloodBytes; sent += len(block) {
		if _, err := conn.Write(block); err != nil {
			return
		}
	}
}

// send reports whether the client still takes what is sent.
func send(conn net.Conn, text string) bool {
	_, err := conn.Write([]byte(text))
	return err == nil
}
