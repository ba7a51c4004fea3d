package forwards

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/schedules"
)

const (
	// benchmarkEvents is the number of events in one answer of a benchmark.
	benchmarkEvents = 200
	// benchmarkBodyBytes is the size of a prompt of about 1000 tokens.
	benchmarkBodyBytes = 4 << 10
)

// onlyPlacer places all jobs on one engine.
type onlyPlacer struct{ engine gypsumshelf.ServerID }

func (p onlyPlacer) Place(_ context.Context, job schedules.Job) (schedules.Decision, error) {
	return schedules.Decision{Job: job.ID, Placement: &schedules.Placement{Server: p.engine, First: time.Millisecond}}, nil
}

func (onlyPlacer) Started(schedules.JobID) {}

func (onlyPlacer) End(schedules.JobID, schedules.Outcome, gypsumshelf.ServerID) {}

// streamOf returns a handler that sends the chunks one by one.
func streamOf(chunks [][]byte) func(*http.Request, string, net.Conn) {
	return func(r *http.Request, _ string, conn net.Conn) {
		_, _ = io.WriteString(conn, responseHeader(r, http.StatusOK, "Transfer-Encoding: chunked\r\n"))
		for _, c := range chunks {
			if _, err := conn.Write(c); err != nil {
				return
			}
		}
	}
}

// benchmarkCaller is a caller with one connection to a forwarder.
type benchmarkCaller struct {
	b      *testing.B
	conn   net.Conn
	reader *bufio.Reader
	raw    string // its request
}

// send sends the request and reads the answer, which must have a status.
func (c *benchmarkCaller) send(status int) {
	if _, err := io.WriteString(c.conn, c.raw); err != nil {
		c.b.Fatal(err)
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.b.Fatal(err)
	}
	if response.StatusCode != status {
		c.b.Fatalf("status %d, want %d", response.StatusCode, status)
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		c.b.Fatal(err)
	}
}

// newBenchmarkCaller returns a caller of a forwarder with one engine that sends
// benchmarkEvents events, all over connections in memory.
func newBenchmarkCaller(b *testing.B) (*benchmarkCaller, *pipeNetwork) {
	n := newPipeNetwork()
	var chunks [][]byte
	for i := 1; i <= benchmarkEvents; i++ {
		event := fmt.Sprintf("id: %d\ndata: {\"text\":\" word\",\"index\":0}\n\n", i)
		chunks = append(chunks, fmt.Appendf(nil, "%x\r\n%s\r\n", len(event), event))
	}
	engine := newFakeBackendAt(b, n.listen(), "e1", "engines", streamOf(append(chunks, []byte("0\r\n\r\n"))))
	f := newForwarderFixture(b, fakeProtocol{}, n, engine)
	f.forwarder.cfg.Placer = onlyPlacer{engine.record.ID}
	f.forwarder.cfg.Log.Logger.SetOutput(io.Discard)
	f.forwarder.SetCatalog(newCatalog(b))
	l := n.listen()
	server := &http.Server{Handler: f.forwarder}
	go func() { _ = server.Serve(l) }()
	b.Cleanup(func() { server.Close() })
	conn, err := n.dialContext(b.Context(), "tcp", l.address)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { conn.Close() })
	body := strings.Repeat("x", benchmarkBodyBytes)
	raw := fmt.Sprintf("POST /stream/ HTTP/1.1\r\nHost: 127.0.0.1\r\nId: r1\r\nKey: k\r\nParts: aa bb cc\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return &benchmarkCaller{b: b, conn: conn, reader: bufio.NewReader(conn), raw: raw}, n
}

// BenchmarkStreamedRequest measures a whole streamed request through a forwarder, with the
// work of its caller and its engine.
func BenchmarkStreamedRequest(b *testing.B) {
	c, _ := newBenchmarkCaller(b)
	b.ReportAllocs()
	for b.Loop() {
		c.send(http.StatusOK)
	}
}

// BenchmarkRefusedRequest measures a request that is refused without a job, since its
// service cannot be reached.
func BenchmarkRefusedRequest(b *testing.B) {
	c, n := newBenchmarkCaller(b)
	n.noWay = func() bool { return true }
	b.ReportAllocs()
	for b.Loop() {
		c.send(http.StatusServiceUnavailable)
	}
}
