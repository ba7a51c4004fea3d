package directories

import (
	"net"
	"net/rpc"
	"testing"
	"time"
)

// slowService answers after a delay.
type slowService struct{ began chan struct{} }

// Wait answers after the delay.
func (s *slowService) Wait(delay time.Duration, reply *string) error {
	close(s.began)
	time.Sleep(delay)
	*reply = "answer"
	return nil
}

// closeDuringCall closes a server while a call is in progress. It returns what the
// caller got, and how long the close took.
func closeDuringCall(t *testing.T, delay time.Duration) (reply string, took time.Duration, err error) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	service := &slowService{began: make(chan struct{})}
	server, err := NewServer(l, map[string]any{"Slow": service})
	if err != nil {
		t.Fatal(err)
	}
	client, err := rpc.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	call := client.Go("Slow.Wait", delay, &reply, make(chan *rpc.Call, 1))
	<-service.began
	began := time.Now()
	server.Close()
	took = time.Since(began)
	<-call.Done
	return reply, took, call.Error
}

// Guards against a stop that cuts calls whose answers are due, which their callers take
// for the loss of the daemon, and against one that waits for calls without end.
func TestCloseAnswersCallsInProgress(t *testing.T) {
	t.Run("answer due", func(t *testing.T) {
		if reply, _, err := closeDuringCall(t, answerTimeout/2); reply != "answer" || err != nil {
			t.Errorf("the call ended with %q and %v, want its answer", reply, err)
		}
	})
	t.Run("slow call", func(t *testing.T) {
		if _, took, _ := closeDuringCall(t, 5*answerTimeout); took > 3*answerTimeout {
			t.Errorf("the close took %v, want about %v", took, answerTimeout)
		}
	})
}
