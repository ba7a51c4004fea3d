package desks

import (
	"context"
	"errors"
	"net/rpc"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/directories"
	"gypsumshelf.example/gypsumshelf/peers"
	"gypsumshelf.example/gypsumshelf/schedules"
	"gypsumshelf.example/gypsumshelf/timers"
)

const (
	// placeTimeout is the time after which a leader that does not answer is not
	// asked any more for suspectTime: half of the shortest target is left then.
	placeTimeout = 120 * time.Millisecond
	suspectTime  = 500 * time.Millisecond
	// silenceShare is the part of its target that a job waits for the answer of a
	// leader, which is sent again after 200 ms or more when packets are lost.
	silenceShare = 0.4
	// leaderlessShare is the part of its target that a job waits for a leader.
	// One that would wait for less than leastLeaderless does not wait: a
	// connection is not restored in that time.
	leaderlessShare = 0.2
	leastLeaderless = 200 * time.Millisecond
	// leaderPoll is the period at which a waiting job looks for a leader.
	leaderPoll = 20 * time.Millisecond
	// noteTimeout bounds calls that no request waits for.
	noteTimeout = time.Second
	// noteBacklog is the number of notes that may wait; a note that is lost is
	// made up for by the deadline of its job.
	noteBacklog = 1024
	// noteGather is the time for which notes are gathered into one call.
	noteGather = 5 * time.Millisecond
)

// ClientConfig configures a Client.
type ClientConfig struct {
	Feeds *directories.Subscriber
	Local *Desk // used while no leader answers
	Log   *logrus.Entry
}

// placed is a job in progress.
type placed struct {
	job       schedules.Job
	placement *schedules.Placement // nil while it waits
	started   bool
	local     bool
}

// Client asks the leader's desk, or the local one.
type Client struct {
	cfg   ClientConfig
	notes chan Note
	stop  chan struct{}
	wg    sync.WaitGroup

	mu      sync.Mutex
	leader  string
	term    uint64
	suspect time.Time // the leader is not asked before this time
	adopted string    // leader that was told of the jobs in progress
	jobs    map[schedules.JobID]*placed
}

// NewClient returns a running Client.
func NewClient(cfg ClientConfig) *Client {
	c := &Client{cfg: cfg, notes: make(chan Note, noteBacklog), stop: make(chan struct{}), jobs: map[schedules.JobID]*placed{}}
	cfg.Local.SetActive(true)
	c.wg.Add(1)
	go c.loop()
	return c
}

// Close stops the client.
func (c *Client) Close() {
	close(c.stop)
	c.wg.Wait()
}

// SetLeader takes what a control daemon says about the leader.
func (c *Client) SetLeader(address string, term uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if term < c.term || address == "" || term == c.term && address == c.leader {
		return
	}
	c.leader, c.term, c.suspect = address, term, time.Time{}
	c.cfg.Log.WithFields(logrus.Fields{"leader": address, "term": term}).Info("engine work is scheduled by another daemon")
}

// connection returns the connection to the leader, nil when it is not usable.
func (c *Client) connection() (*rpc.Client, string) {
	c.mu.Lock()
	leader, suspect := c.leader, c.suspect
	c.mu.Unlock()
	if leader == "" || time.Now().Before(suspect) {
		return nil, ""
	}
	client, alive := c.cfg.Feeds.Client(leader)
	if !alive {
		return nil, ""
	}
	c.introduce(client, leader)
	return client, leader
}

// introduce tells a new leader of the jobs in progress, once.
func (c *Client) introduce(client *rpc.Client, leader string) {
	c.mu.Lock()
	if c.adopted == leader {
		c.mu.Unlock()
		return
	}
	c.adopted = leader
	var jobs []Adoption
	for _, p := range c.jobs {
		if p.placement != nil {
			jobs = append(jobs, Adoption{Job: p.job, Placement: *p.placement, Started: p.started})
		}
	}
	c.mu.Unlock()
	if err := peers.Call(client, ServiceName+".Adopt", jobs, &struct{}{}, placeTimeout); err != nil {
		c.blame(leader, err)
	}
}

// blame keeps requests away from a leader that did not answer.
func (c *Client) blame(leader string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.suspect = time.Now().Add(suspectTime)
	c.adopted = ""
	c.cfg.Log.WithField("leader", leader).WithError(err).Warn("the scheduling daemon does not answer; engine work is scheduled locally")
}

// Place implements the placing of a request's job; it waits for the decision.
func (c *Client) Place(ctx context.Context, job schedules.Job) (schedules.Decision, error) {
	p := &placed{job: job}
	c.mu.Lock()
	c.jobs[job.ID] = p
	c.mu.Unlock()
	arrived := time.Now()
	contact := arrived // last one with a leader
	failed := ""       // leader that does not know the job any more
	for {
		if client, leader := c.connection(); client != nil && leader != failed {
			decision, err := c.ask(ctx, client, leader, after(job, time.Since(arrived)))
			if err == nil {
				decision.Scheduler = leader
				return c.decided(p, *decision, false), nil
			}
			if ctx.Err() != nil {
				return schedules.Decision{}, ctx.Err()
			}
			c.blame(leader, err)
			contact, failed = time.Now(), leader
		}
		if time.Since(contact) >= leaderless(job) {
			return c.placeLocally(ctx, p, time.Since(arrived))
		}
		if !timers.Pause(ctx, leaderPoll) {
			return schedules.Decision{}, ctx.Err()
		}
	}
}

// after returns a job as it is when a time has passed since it was made.
func after(job schedules.Job, spent time.Duration) schedules.Job {
	job.Target -= spent
	job.Patience -= spent
	job.Deadline -= spent
	return job
}

// silence returns how long a leader may take to answer a job's daemon.
func silence(job schedules.Job) time.Duration {
	return max(placeTimeout, time.Duration(silenceShare*float64(job.Target)))
}

// leaderless returns how long a job waits for a leader before this daemon
// places it with what it knows itself.
func leaderless(job schedules.Job) time.Duration {
	if share := time.Duration(leaderlessShare * float64(job.Target)); share >= leastLeaderless {
		return share
	}
	return 0
}

// ask places a job at the leader. While the job waits there, answers that come
// too late do not end its wait: what the leader knows of other daemons' jobs is
// worth more than the time. An error means that the leader has lost the job or
// is not reached any more.
func (c *Client) ask(ctx context.Context, client *rpc.Client, leader string, job schedules.Job) (*schedules.Decision, error) {
	reply := &Reply{}
	if err := peers.Call(client, ServiceName+".Place", job, reply, silence(job)); err != nil {
		return nil, err
	}
	heard := time.Now()
	for reply.Decision == nil {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		reply = &Reply{}
		err := peers.Call(client, ServiceName+".Await", job.ID, reply, awaitHold+placeTimeout)
		if err == nil {
			heard = time.Now()
			continue
		}
		reply = &Reply{} // the other one may still be written to
		var answered rpc.ServerError
		if errors.As(err, &answered) || time.Since(heard) > awaitHold+silence(job) {
			return nil, err
		}
		if again, current := c.connection(); again != nil && current == leader {
			client = again
		} else if !timers.Pause(ctx, leaderPoll) {
			return nil, ctx.Err()
		}
	}
	return reply.Decision, nil
}

func (c *Client) decided(p *placed, d schedules.Decision, local bool) schedules.Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	p.placement, p.local = d.Placement, local
	if d.Placement == nil {
		delete(c.jobs, p.job.ID)
	}
	return d
}

// placeLocally places a job with what this daemon knows. The time that the
// leader was waited for counts.
func (c *Client) placeLocally(ctx context.Context, p *placed, spent time.Duration) (schedules.Decision, error) {
	job := after(p.job, spent)
	decision, err := c.cfg.Local.Place(job)
	if err == nil && decision == nil {
		decision, err = c.cfg.Local.Await(ctx, job.ID)
	}
	if err == nil && decision == nil {
		err = errors.Join(ctx.Err(), errUndecided)
	}
	if err != nil {
		return schedules.Decision{}, err
	}
	return c.decided(p, *decision, true), nil
}

var errUndecided = errors.New("the caller's time ended before a place was free")

// Started implements the note of a first event.
func (c *Client) Started(id schedules.JobID) {
	c.mu.Lock()
	p := c.jobs[id]
	if p != nil {
		p.started = true
	}
	c.mu.Unlock()
	if p != nil {
		c.tell(Note{Job: id, Started: true}, p.local)
	}
}

// End implements the note of a job's end.
func (c *Client) End(id schedules.JobID, outcome schedules.Outcome, blamed gypsumshelf.ServerID) {
	c.mu.Lock()
	p := c.jobs[id]
	delete(c.jobs, id)
	c.mu.Unlock()
	if p != nil {
		c.tell(Note{Job: id, Outcome: outcome, Blamed: blamed}, p.local)
	}
}

func (c *Client) tell(n Note, local bool) {
	if local {
		if n.Started {
			c.cfg.Local.Started(n.Job)
		} else {
			c.cfg.Local.End(n.Job, n.Outcome, n.Blamed)
		}
	}
	select {
	case c.notes <- n:
	default:
		c.cfg.Log.WithField("job", n.Job).Warn("a note to the scheduling daemon is dropped")
	}
}

// loop sends notes to the leader. It may have adopted jobs that were placed locally.
func (c *Client) loop() {
	defer c.wg.Done()
	for {
		var notes []Note
		select {
		case <-c.stop:
			return
		case n := <-c.notes:
			notes = append(notes, n)
		}
		time.Sleep(noteGather)
		for gathering := true; gathering; {
			select {
			case n := <-c.notes:
				notes = append(notes, n)
			default:
				gathering = false
			}
		}
		if client, leader := c.connection(); client != nil {
			if err := peers.Call(client, ServiceName+".Tell", notes, &struct{}{}, noteTimeout); err != nil && !errors.Is(err, rpc.ErrShutdown) {
				c.blame(leader, err)
			}
		}
	}
}
