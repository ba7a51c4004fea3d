package forwards

import (
	"bufio"
	"net/http"
	"time"

	"gypsumshelf.example/gypsumshelf/catalogs"
	"gypsumshelf.example/gypsumshelf/faults"
	"gypsumshelf.example/gypsumshelf/logs"
)

// responsePart is an event of a stream, a complete response that is not a stream,
// or the error that ended the response. The error is io.EOF after a complete stream.
type responsePart struct {
	event    []byte
	response *bufferedResponse
	err      error
}

// responseReader reads the response of an engine in a goroutine and sends its parts
// over a channel, so that the receiver can also wait for timers and the scheduler.
type responseReader struct {
	request  *proxyRequest
	attempt  *attempt
	outgoing *outgoingRequest
	path     *pathMeter // nil if the path is not judged
	parts    chan responsePart
	stop     chan struct{}
	done     chan struct{}
}

// newResponseReader returns a responseReader that is already reading. first is the time at
// which the first event is expected.
func newResponseReader(req *proxyRequest, a *attempt, out *outgoingRequest, first time.Time) *responseReader {
	reader := &responseReader{request: req, attempt: a, outgoing: out, path: req.newPathMeter(a, first), parts: make(chan responsePart), stop: make(chan struct{}), done: make(chan struct{})}
	go reader.run()
	return reader
}

// close closes the attempt's connection and waits until the goroutine has ended.
func (r *responseReader) close() {
	close(r.stop)
	r.attempt.close()
	<-r.done
}

func (r *responseReader) run() {
	defer close(r.done)
	if err := r.read(); err != nil {
		r.send(responsePart{err: err})
	}
}

// read sends the parts of the response. It returns the error that ends it, which is
// io.EOF after a complete stream, and nil if nothing more is to be sent.
func (r *responseReader) read() (err error) {
	defer faults.Recover(r.request.forwarder.cfg.Log.WithField(logs.KeyRequest, r.request.meta.ID), "response", &err)
	a := r.attempt
	response, err := a.exchange.readHeader(r.outgoing, r.request.remaining())
	if err == nil {
		a.response = response
		err = r.request.validateHeader(a)
	}
	if err == nil && (response.StatusCode != http.StatusOK || r.request.route.Kind != catalogs.Stream) {
		buffered, bufferErr := a.bufferResponse(r.request.remaining(), r.request.responseMemory)
		r.send(responsePart{response: buffered, err: bufferErr})
		return nil
	}
	reader := bufio.NewReaderSize(nil, readBufferBytes)
	if err == nil {
		reader.Reset(response.Body)
	}
	defer r.path.flush()
	for err == nil {
		var event []byte
		r.path.wait()
		if event, err = readEvent(reader); err == nil {
			r.path.arrived()
			if !r.send(responsePart{event: event}) {
				return nil
			}
		}
	}
	return a.exchange.mapTimeout(err)
}

// send sends a part to the receiver and reports false after close.
func (r *responseReader) send(part responsePart) bool {
	select {
	case r.parts <- part:
		return true
	case <-r.stop:
		return false
	}
}
