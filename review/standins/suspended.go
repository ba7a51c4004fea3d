package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// firstResend is the time after which TCP sends unacknowledged bytes again. It doubles
// with each resend.
const firstResend = 200 * time.Millisecond

// suspension is a control machine that can be suspended, with the network in front of it.
// A suspended machine acknowledges no bytes. They are sent again after 0.2, 0.6, 1.4, 3 s
// and so on, also when the sender has closed the channel meanwhile.
type suspension struct {
	machine  *machine
	listener net.Listener

	mu        sync.Mutex
	suspended chan struct{} // closed when the machine is resumed, nil while it runs
}

// newSuspension starts a proxy to the control address of a machine.
func (d *deployment) newSuspension(m *machine) (*suspension, error) {
	l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", d.address(), controlPort))
	if err != nil {
		return nil, err
	}
	s := &suspension{machine: m, listener: l}
	go s.loop()
	return s, nil
}

func (s *suspension) loop() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return // closed
		}
		server, err := net.Dial("tcp", net.JoinHostPort(s.machine.ip, strconv.Itoa(controlPort)))
		if err != nil {
			_ = conn.Close()
			continue
		}
		go s.forward(conn, server)
		go func() {
			_, _ = io.Copy(conn, server)
			_ = conn.Close()
		}()
	}
}

// forward copies what the operator sends, and closes the channel to the machine after it.
func (s *suspension) forward(from, to net.Conn) {
	defer to.Close()
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		s.awaitDelivery()
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// awaitDelivery waits until bytes that are sent now reach the machine.
func (s *suspension) awaitDelivery() {
	sent, delay := time.Now(), firstResend
	for {
		s.mu.Lock()
		suspended := s.suspended
		s.mu.Unlock()
		if suspended == nil {
			return
		}
		time.Sleep(delay)
		delay *= 2
		s.machine.deployment.rec.printf("bytes to %s are sent again after %v", s.machine.name, time.Since(sent).Round(time.Millisecond))
	}
}

func (s *suspension) suspend() {
	s.mu.Lock()
	s.suspended = make(chan struct{})
	s.mu.Unlock()
	s.machine.signal(syscall.SIGSTOP)
}

func (s *suspension) resume() {
	s.machine.signal(syscall.SIGCONT)
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.suspended)
	s.suspended = nil
}

func (s *suspension) close() { _ = s.listener.Close() }

// url returns the address of the proxy.
func (s *suspension) url(path string) string {
	return fmt.Sprintf("http://%s%s", s.listener.Addr(), path)
}

// orderThrough sends an order of the operator through the network of a machine that may
// be suspended.
func (d *deployment) orderThrough(s *suspension, client *http.Client, method, path string) int {
	req, err := http.NewRequest(method, s.url(path), nil)
	if err != nil {
		return 0
	}
	return d.do(s.machine, client, req, path)
}
