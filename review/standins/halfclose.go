package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"time"
)

func init() { cases["halfclose"] = playHalfClose }

// bookings is the number of unsafe requests of a case.
const bookings = 20

// playHalfClose sends unsafe requests. With the disruption, their requesters close their
// own side of the channel after the request, and read on.
func playHalfClose(d *deployment, trouble bool) error {
	if err := d.startAll(); err != nil {
		return err
	}
	wrong := 0
	for i := range bookings {
		id := fmt.Sprintf("booking-%d", i)
		resp, err := d.book(d.entries[i%len(d.entries)], id, trouble)
		if err != nil {
			d.rec.printf("requester gets no answer to %s: %v", id, err)
			continue
		}
		d.rec.printf("requester gets %d, seal %q, length %d for %s", resp.StatusCode, resp.Header.Get(headerSeal), resp.ContentLength, id)
		if resp.StatusCode/100 == 2 && resp.Header.Get(headerSeal) == "" {
			wrong++
		}
		time.Sleep(50 * time.Millisecond)
	}
	if wrong > 0 {
		return brokenf("MIXED: %d of %d bookings got a success without a runner's seal", wrong, bookings)
	}
	return nil
}

// book sends one unsafe request on a channel of its own and reads the answer.
func (d *deployment) book(m *machine, id string, halfClose bool) (*http.Response, error) {
	conn, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", m.ip, callerPort), time.Second)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(2 * time.Second)); err != nil {
		return nil, err
	}
	d.rec.printf("requester sends POST /post/2f %s to %s", id, m.name)
	if _, err := fmt.Fprintf(conn, "POST /post/2f HTTP/1.1\r\nHost: order.example\r\n%s: %s\r\n%s: 1000\r\nAuthorization: Bearer key-of-abbey\r\nContent-Length: 2\r\n\r\n{}", headerRequest, id, headerDeadline); err != nil {
		return nil, err
	}
	if halfClose {
		d.rec.printf("requester of %s closes its side of the channel", id)
		if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
			return nil, err
		}
	}
	return http.ReadResponse(bufio.NewReader(conn), nil)
}
