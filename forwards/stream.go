package forwards

import (
	"bufio"
	"net/http"

	"gypsumshelf.example/gypsumshelf/catalogs"
)

// item is a part of an engine's answer: an event, a whole answer that is no
// stream, or the end, which is io.EOF when the stream is complete.
type responsePart struct {
	event    []byte
	response *bufferedResponse
	err      error
}

// stream reads the answer of an engine, so that its receiver can wait for other
// things beside it.
type responseReader struct {
	request  *proxyRequest
	attempt  *attempt
	outgoing *outgoingRequest
	parts    chan responsePart
	stop     chan struct{}
	done     chan struct{}
}

// newStream returns a running stream.
func newResponseReader(req *proxyRequest, a *attempt, out *outgoingRequest) *responseReader {
	s := &responseReader{request: req, attempt: a, outgoing: out, parts: make(chan responsePart), stop: make(chan struct{}), done: make(chan struct{})}
	go s.run()
	return s
}

// close ends the attempt's connection and waits until nothing uses the attempt.
func (s *responseReader) close() {
	close(s.stop)
	s.attempt.close()
	<-s.done
}

func (s *responseReader) run() {
	defer close(s.done)
	a := s.attempt
	response, err := a.exchange.readHeader(s.outgoing, s.request.remaining())
	if err == nil {
		a.response = response
		err = s.request.validateHeader(a)
	}
	if err == nil && (response.StatusCode != http.StatusOK || s.request.route.Kind != catalogs.Stream) {
		buffered, wholeErr := a.bufferResponse(s.request.remaining())
		s.send(responsePart{response: buffered, err: wholeErr})
		return
	}
	reader := bufio.NewReaderSize(nil, readBufferBytes)
	if err == nil {
		reader.Reset(response.Body)
	}
	for err == nil {
		var event []byte
		if event, err = readEvent(reader); err == nil && !s.send(responsePart{event: event}) {
			return
		}
	}
	s.send(responsePart{err: a.exchange.mapTimeout(err)})
}

// put hands an item over; it reports false when nobody wants it any more.
func (s *responseReader) send(part responsePart) bool {
	select {
	case s.parts <- part:
		return true
	case <-s.stop:
		return false
	}
}
