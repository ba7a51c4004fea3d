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
	queueCapacity     = 1024 // maximum envelopes queued for one peer
	maxBatchEnvelopes = 256  // maximum envelopes in one call
	redialDelay       = 100 * time.Millisecond
	dialTimeout       = 300 * time.Millisecond // short: a host that comes up does not answer attempts made before, and regions are only tens of ms apart
	helloTimeout      = 2 * time.Second
	heartbeatInterval = 500 * time.Millisecond // idle time after which a heartbeat is sent
	drainPollInterval = 5 * time.Millisecond
	deliverTimeout    = 2 * time.Second  // time without a response to Peer.Deliver after which a connection is dropped
	idleTimeout       = 10 * time.Second // time without a message after which a link is removed if Config.AllowUnlisted is set
)

// link keeps an outgoing connection to one peer and queues envelopes for it.
type link struct {
	links    *Links
	id       gypsumshelf.DaemonID
	lastUsed time.Time // time at which the last envelope was taken from the queue
	address  string
	queue    chan Envelope
	pending  atomic.Int64 // envelopes that are queued or being delivered
}

func (k *link) run() {
	defer k.links.wg.Done()
	k.lastUsed = time.Now()
	for {
		if time.Since(k.lastUsed) > idleTimeout && k.links.removeIdleLink(k) {
			return
		}
		client, err := k.dial()
		if err == nil {
			k.deliverQueued(client)
			client.Close()
		} else if k.links.cfg.AllowUnlisted {
			k.discardQueue()
		}
		select {
		case <-k.links.stop:
			return
		case <-time.After(redialDelay):
		}
	}
}

// discardQueue drops the envelopes queued for a peer that cannot be reached.
// Otherwise, after a long partition, the peer would have to process messages that
// are obsolete.
func (k *link) discardQueue() {
	for {
		select {
		case <-k.queue:
			k.pending.Add(-1)
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
	client := rpc.NewClient(&countingConn{Conn: conn, counters: &k.links.bytes})
	hello := Hello{Deployment: k.links.cfg.Deployment, Daemon: k.links.cfg.Daemon}
	if err := k.call(client, "Peer.Hello", hello, helloTimeout); err != nil {
		client.Close()
		return nil, err
	}
	return client, nil
}

// deliverQueued delivers queued envelopes until a call fails or times out, or
// nextBatch ends the connection.
func (k *link) deliverQueued(client *rpc.Client) {
	for {
		batch := k.nextBatch()
		if batch == nil {
			return
		}
		err := k.call(client, "Peer.Deliver", batch, deliverTimeout)
		k.pending.Add(-int64(len(batch)))
		if err != nil {
			return
		}
	}
}

// nextBatch waits for envelopes. It returns an empty batch when a heartbeat is due,
// and nil when the links are closed or this link has been idle for too long.
func (k *link) nextBatch() []Envelope {
	batch := make([]Envelope, 0, 1)
	select {
	case <-k.links.stop:
		return nil
	case <-time.After(heartbeatInterval):
		if k.links.cfg.AllowUnlisted && time.Since(k.lastUsed) > idleTimeout {
			return nil
		}
		return batch
	case e := <-k.queue:
		k.lastUsed = time.Now()
		batch = append(batch, e)
	}
	for len(batch) < maxBatchEnvelopes {
		select {
		case e := <-k.queue:
			batch = append(batch, e)
		default:
			return batch
		}
	}
	return batch
}

// call makes an RPC without a result, which ends at Links.Close at the latest.
func (k *link) call(client *rpc.Client, method string, args any, timeout time.Duration) error {
	return callUntil(k.links.stop, client, method, args, &struct{}{}, timeout)
}

var (
	errCallTimeout = errors.New("the other daemon did not answer in time")
	errClosed      = errors.New("this daemon has closed its links")
)

// Call makes an RPC with a timeout. After an error the reply must not be read,
// because a late response may still be written to it.
func Call(client *rpc.Client, method string, args, reply any, timeout time.Duration) error {
	return callUntil(nil, client, method, args, reply, timeout)
}

// callUntil is Call with a channel whose close ends the call.
func callUntil(stop <-chan struct{}, client *rpc.Client, method string, args, reply any, timeout time.Duration) error {
	call := client.Go(method, args, reply, make(chan *rpc.Call, 1))
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case done := <-call.Done:
		return done.Error
	case <-timer.C:
		return errCallTimeout
	case <-stop:
		return errClosed
	}
}
