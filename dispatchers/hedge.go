package dispatchers

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"time"

	"gypsumshelf.example/gypsumshelf/peers"
	"gypsumshelf.example/gypsumshelf/schedules"
)

const (
	// hedgeDelay is the time without an answer after which a placement is requested a
	// second time, over another connection. It is several round trips between data
	// centres, and a fraction of the 200 ms after which a lost packet is sent again.
	hedgeDelay = 40 * time.Millisecond
	// backupDialTimeout bounds the attempts to open the second connection.
	backupDialTimeout = 500 * time.Millisecond
)

// backup is a second connection to the leader. A lost packet delays all calls on its
// connection, but none on another one, and it may take another way. It is opened at the
// first call that takes long.
type backup struct {
	dial func(ctx context.Context, address string) (net.Conn, error)

	mu      sync.Mutex
	address string
	client  *rpc.Client
	dialing bool
	closed  bool
}

// get returns the connection to a leader. If there is none, it returns nil and begins to
// open one.
func (b *backup) get(address string) *rpc.Client {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.address != address && b.client != nil {
		b.client.Close()
		b.client = nil
	}
	b.address = address
	if b.client == nil && !b.dialing && !b.closed {
		b.dialing = true
		go (&backupDial{backup: b, address: address}).run()
	}
	return b.client
}

// drop closes a connection that has failed.
func (b *backup) drop(client *rpc.Client) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.client == client && client != nil {
		b.client.Close()
		b.client = nil
	}
}

// close closes the connection and opens no other one.
func (b *backup) close() {
	b.mu.Lock()
	client := b.client
	b.closed = true
	b.mu.Unlock()
	b.drop(client)
}

// backupDial opens the second connection to a leader.
type backupDial struct {
	backup  *backup
	address string
}

func (d *backupDial) run() {
	ctx, cancel := context.WithTimeout(context.Background(), backupDialTimeout)
	defer cancel()
	conn, err := d.backup.dial(ctx, d.address)
	b := d.backup
	b.mu.Lock()
	defer b.mu.Unlock()
	b.dialing = false
	switch {
	case err != nil: // the next slow call tries again
	case b.address != d.address || b.closed:
		conn.Close()
	default:
		b.client = rpc.NewClient(conn)
	}
}

// clientOf returns the connection to a leader that is to be used, or nil if there is none.
func (c *Client) clientOf(leader string) *rpc.Client {
	if leader == "" {
		return nil
	}
	client, alive := c.cfg.Feeds.Client(leader)
	if !c.cfg.Local.judgesPaths() {
		if !alive {
			return nil
		}
		return client
	}
	c.mu.Lock()
	suspect := time.Now().Before(c.primarySuspect)
	c.mu.Unlock()
	if alive && !suspect {
		return client
	}
	if second := c.backup.get(leader); second != nil {
		return second
	}
	if alive {
		return client
	}
	return nil
}

// useBackup makes the following calls use the second connection to the leader, and reports
// whether there is one; mu is held. Otherwise it begins to open one.
func (c *Client) useBackup(leader string) bool {
	if !c.cfg.Local.judgesPaths() || c.backup.get(leader) == nil || time.Now().Before(c.primarySuspect) {
		return false
	}
	c.primarySuspect = time.Now().Add(suspectDuration)
	return true
}

// preferBackup makes the following calls use the second connection after it has answered
// first.
func (c *Client) preferBackup() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.primarySuspect = time.Now().Add(suspectDuration)
}

// placeCall is one of the calls that request the same placement.
type placeCall struct {
	client  *rpc.Client
	job     schedules.Job
	timeout time.Duration
	results chan placeCallResult
	first   bool
}

type placeCallResult struct {
	reply *Reply
	err   error
	call  *placeCall
}

func (p *placeCall) run() {
	reply := &Reply{}
	err := peers.Call(p.client, ServiceName+".Place", p.job, reply, p.timeout)
	p.results <- placeCallResult{reply: reply, err: err, call: p}
}

// callPlace requests a placement from the leader. Where paths are judged, the call is
// repeated over a second connection if it takes long: the leader gives the same answer to
// both. It answers loads of short prompts while links lose packets.
func (c *Client) callPlace(client *rpc.Client, leader string, job schedules.Job) (*Reply, error) {
	timeout := answerTimeout(job)
	if !c.cfg.Local.judgesPaths() {
		reply := &Reply{}
		return reply, peers.Call(client, ServiceName+".Place", job, reply, timeout)
	}
	results := make(chan placeCallResult, 2)
	go (&placeCall{client: client, job: job, timeout: timeout, results: results, first: true}).run()
	hedge := time.NewTimer(hedgeDelay)
	defer hedge.Stop()
	for pending := 1; ; {
		select {
		case <-hedge.C:
			if second := c.backup.get(leader); second != nil && second != client {
				pending++
				go (&placeCall{client: second, job: job, timeout: timeout - hedgeDelay, results: results}).run()
			}
		case result := <-results:
			pending--
			if result.err != nil {
				c.backup.drop(result.call.client)
			} else if !result.call.first {
				c.preferBackup()
			}
			if result.err == nil || pending == 0 {
				return result.reply, result.err
			}
		}
	}
}
