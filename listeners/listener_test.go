package listeners

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

// failing is a listener that has failed connections to accept left.
type failing struct {
	net.Listener
	left atomic.Int64
	err  error
}

func (f *failing) Accept() (net.Conn, error) {
	if f.left.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: f.Addr(), Err: os.NewSyscallError("accept4", f.err)}
	}
	return f.Listener.Accept()
}

func quiet() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}

func newFailing(t *testing.T, err error) *failing {
	t.Helper()
	l, listenErr := net.Listen("tcp", "127.0.0.1:0")
	if listenErr != nil {
		t.Fatal(listenErr)
	}
	f := &failing{Listener: l, err: err}
	f.left.Store(3)
	return f
}

// Guards against a port that nobody serves any more after an error that passes.
func TestHTTPServerSurvivesFailedAccepts(t *testing.T) {
	for _, err := range []error{syscall.ENOMEM, syscall.ENOBUFS, syscall.EMFILE, syscall.EPROTO} {
		t.Run(err.Error(), func(t *testing.T) {
			f := newFailing(t, err)
			server := &http.Server{Handler: http.NotFoundHandler(), ReadHeaderTimeout: time.Second}
			ended := make(chan error, 1)
			go func() { ended <- server.Serve(New(f, quiet())) }()
			client := &http.Client{Timeout: 5 * time.Second}
			response, getErr := client.Get("http://" + f.Addr().String())
			if getErr != nil {
				t.Fatal(getErr)
			}
			response.Body.Close()
			server.Close()
			if err := <-ended; !errors.Is(err, http.ErrServerClosed) {
				t.Errorf("the server ends with %v, want %v", err, http.ErrServerClosed)
			}
		})
	}
}

// Guards against a stop that waits for an address which stays in use.
func TestLateListenerIsClosedWhileItWaits(t *testing.T) {
	occupied, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer occupied.Close()
	l := NewLate(occupied.Addr().String(), quiet())
	ended := make(chan error, 1)
	go func() {
		_, err := l.Accept()
		ended <- err
	}()
	l.Close()
	select {
	case err := <-ended:
		if !errors.Is(err, net.ErrClosed) {
			t.Errorf("Accept returns %v, want %v", err, net.ErrClosed)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("Accept does not return after Close")
	}
}
