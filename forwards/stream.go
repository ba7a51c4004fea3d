package forwards

import (
	"bufio"
	"net/http"

	"gypsumshelf.example/gypsumshelf/catalogs"
)

// item is a part of an engine's answer: an event, a whole answer that is no
// stream, or the end, which is io.EOF when the stream is complete.
type item struct {
	event []byte
	whole *wholeAnswer
	err   error
}

// stream reads the answer of an engine, so that its receiver can wait for other
// things beside it.
type stream struct {
	delivery *delivery
	attempt  *attempt
	out      *outgoing
	items    chan item
	stop     chan struct{}
	done     chan struct{}
}

// newStream returns a running stream.
func newStream(d *delivery, a *attempt, out *outgoing) *stream {
	s := &stream{delivery: d, attempt: a, out: out, items: make(chan item), stop: make(chan struct{}), done: make(chan struct{})}
	go s.run()
	return s
}

// close ends the attempt's connection and waits until nothing uses the attempt.
func (s *stream) close() {
	close(s.stop)
	s.attempt.close()
	<-s.done
}

func (s *stream) run() {
	defer close(s.done)
	a := s.attempt
	answer, err := a.exchange.head(s.out, s.delivery.left())
	if err == nil {
		a.answer = answer
		err = s.delivery.examine(a)
	}
	if err == nil && (answer.StatusCode != http.StatusOK || s.delivery.route.Kind != catalogs.Stream) {
		whole, wholeErr := a.whole(s.delivery.left())
		s.put(item{whole: whole, err: wholeErr})
		return
	}
	reader := bufio.NewReaderSize(nil, readBuffer)
	if err == nil {
		reader.Reset(answer.Body)
	}
	for err == nil {
		var event []byte
		if event, err = readEvent(reader); err == nil && !s.put(item{event: event}) {
			return
		}
	}
	s.put(item{err: a.exchange.cause(err)})
}

// put hands an item over; it reports false when nobody wants it any more.
func (s *stream) put(i item) bool {
	select {
	case s.items <- i:
		return true
	case <-s.stop:
		return false
	}
}
