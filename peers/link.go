package peers

import (
	"errors"
	"net"
	"net/rpc"
	"sync/atomic"
	"time"

	"gypsumshelf.example/gypsumshelf"
)

const (
	queueLength   = 1024 // envelopes that wait for one peer
	maxBatch      = 256  // envelopes in one call
	redialPause   = 100 * time.Millisecond
	dialTimeout   = 300 * time.Millisecond // a host that starts answers no earlier attempt; regions are tens of ms apart
	helloDeadline = 2 * time.Second
	heartbeatGap  = 500 * time.Millisecond // idle time after which a heartbeat is sent
	drainPoll     = 5 * time.Millisecond
	silenceLimit  = 2 * time.Second  // time without an answer after which a connection is dropped
	retireAfter   = 10 * time.Second // time without a message after which an open link ends
)

// link is the outgoing connection to one peer.
type link struct {
	owner   *Links
	id      gypsumshelf.DaemonID
	used    time.Time // of the last message taken from the queue
	address string
	queue   chan Envelope
	waiting atomic.Int64 // envelopes that are queued or being delivered
}

func (k *link) loop() {
	defer k.owner.wg.Done()
	k.used = time.Now()
	for {
		if time.Since(k.used) > retireAfter && k.owner.retire(k) {
			return
		}
		client, err := k.dial()
		if err == nil {
			k.pump(client)
			client.Close()
		} else if k.owner.cfg.Open {
			k.discard()
		}
		select {
		case <-k.owner.stop:
			return
		case <-time.After(redialPause):
		}
	}
}

// discard drops what waits for a peer that cannot be reached: after a long cut
// the peer would have to work through messages that no longer matter.
func (k *link) discard() {
	for {
		select {
		case <-k.queue:
			k.waiting.Add(-1)
		default:
			return
		}
	}
}

func (k *link) dial() (*rpc.Client, error) {
	conn, err := net.DialTimeout("tcp", k.address, dialTimeout)
	if err != nil {
		return nil, err
	}
	client := rpc.NewClient(&countingConn{Conn: conn, counters: &k.owner.bytes})
	hello := Hello{Deployment: k.owner.cfg.Deployment, Daemon: k.owner.cfg.Daemon}
	if err := Call(client, "Peer.Hello", hello, &struct{}{}, helloDeadline); err != nil {
		client.Close()
		return nil, err
	}
	return client, nil
}

// pump delivers queued envelopes until the connection fails or goes silent.
func (k *link) pump(client *rpc.Client) {
	for {
		batch := k.take()
		if batch == nil {
			return
		}
		err := Call(client, "Peer.Deliver", batch, &struct{}{}, silenceLimit)
		k.waiting.Add(-int64(len(batch)))
		if err != nil {
			return
		}
	}
}

// take waits for envelopes; it returns an empty batch when a heartbeat is due
// and nil when the links are closed or the link is to be retired.
func (k *link) take() []Envelope {
	batch := make([]Envelope, 0, 1)
	select {
	case <-k.owner.stop:
		return nil
	case <-time.After(heartbeatGap):
		if k.owner.cfg.Open && time.Since(k.used) > retireAfter {
			return nil
		}
		return batch
	case e := <-k.queue:
		k.used = time.Now()
		batch = append(batch, e)
	}
	for len(batch) < maxBatch {
		select {
		case e := <-k.queue:
			batch = append(batch, e)
		default:
			return batch
		}
	}
	return batch
}

var errSilent = errors.New("the other daemon does not answer")

// Call makes a call and gives up after a time. The reply must not be read after
// an error.
func Call(client *rpc.Client, method string, args, reply any, limit time.Duration) error {
	pending := client.Go(method, args, reply, make(chan *rpc.Call, 1))
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case done := <-pending.Done:
		return done.Error
	case <-timer.C:
		return errSilent
	}
}
