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
	placeTimeout    = 120 * time.Millisecond
	suspectDuration = 500 * time.Millisecond
	// silenceShare is the part of its target that a job waits for the answer of a
	// leader, which is sent again after 200 ms or more when packets are lost.
	answerTimeoutFraction = 0.4
	// leaderlessShare is the part of its target that a job waits for a leader.
	// One that would wait for less than leastLeaderless does not wait: a
	// connection is not restored in that time.
	leaderWaitFraction = 0.2
	minLeaderWait      = 200 * time.Millisecond
	// leaderPoll is the period at which a waiting job looks for a leader.
	leaderPollPeriod = 20 * time.Millisecond
	// noteTimeout bounds calls that no request waits for.
	updateTimeout = time.Second
	// noteBacklog is the number of notes that may wait; a note that is lost is
	// made up for by the deadline of its job.
	updateQueueSize = 1024
	// noteGather is the time for which notes are gathered into one call.
	updateBatchDelay = 5 * time.Millisecond
)

// ClientConfig configures a Client.
type ClientConfig struct {
	Feeds *directories.Subscriber
	Local *Desk // used while no leader answers
	Log   *logrus.Entry
}

// placed is a job in progress.
type activeJob struct {
	job       schedules.Job
	placement *schedules.Placement // nil while it waits
	started   bool
	local     bool
}

// Client asks the leader's desk, or the local one.
type Client struct {
	cfg     ClientConfig
	updates chan JobUpdate
	stop    chan struct{}
	wg      sync.WaitGroup

	mu             sync.Mutex
	leader         string
	term           uint64
	suspectUntil   time.Time // the leader is not asked before this time
	informedLeader string    // leader that was told of the jobs in progress
	jobs           map[schedules.JobID]*activeJob
}

// NewClient returns a running Client.
func NewClient(cfg ClientConfig) *Client {
	c := &Client{cfg: cfg, updates: make(chan JobUpdate, updateQueueSize), stop: make(chan struct{}), jobs: map[schedules.JobID]*activeJob{}}
	cfg.Local.SetActive(true)
	c.wg.Add(1)
	go c.sendUpdates()
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
	c.leader, c.term, c.suspectUntil = address, term, time.Time{}
	c.cfg.Log.WithFields(logrus.Fields{"leader": address, "term": term}).Info("engine work is scheduled by another daemon")
}

// connection returns the connection to the leader, nil when it is not usable.
func (c *Client) connection() (*rpc.Client, string) {
	c.mu.Lock()
	leader, suspectUntil := c.leader, c.suspectUntil
	c.mu.Unlock()
	if leader == "" || time.Now().Before(suspectUntil) {
		return nil, ""
	}
	client, alive := c.cfg.Feeds.Client(leader)
	if !alive {
		return nil, ""
	}
	c.handOverJobs(client, leader)
	return client, leader
}

// introduce tells a new leader of the jobs in progress, once.
func (c *Client) handOverJobs(client *rpc.Client, leader string) {
	c.mu.Lock()
	if c.informedLeader == leader {
		c.mu.Unlock()
		return
	}
	c.informedLeader = leader
	var jobs []AdoptedJob
	for _, p := range c.jobs {
		if p.placement != nil {
			jobs = append(jobs, AdoptedJob{Job: p.job, Placement: *p.placement, Started: p.started})
		}
	}
	c.mu.Unlock()
	if err := peers.Call(client, ServiceName+".Adopt", jobs, &struct{}{}, placeTimeout); err != nil {
		c.suspectLeader(leader, err)
	}
}

// blame keeps requests away from a leader that did not answer.
func (c *Client) suspectLeader(leader string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.suspectUntil = time.Now().Add(suspectDuration)
	c.informedLeader = ""
	c.cfg.Log.WithField("leader", leader).WithError(err).Warn("the scheduling daemon does not answer; engine work is scheduled locally")
}

// Place implements the placing of a request's job; it waits for the decision.
func (c *Client) Place(ctx context.Context, job schedules.Job) (schedules.Decision, error) {
	p := &activeJob{job: job}
	c.mu.Lock()
	c.jobs[job.ID] = p
	c.mu.Unlock()
	arrived := time.Now()
	lastContact := arrived // last one with a leader
	failedLeader := ""     // leader that does not know the job any more
	for {
		if client, leader := c.connection(); client != nil && leader != failedLeader {
			decision, err := c.placeAtLeader(ctx, client, leader, withElapsed(job, time.Since(arrived)))
			if err == nil {
				decision.Scheduler = leader
				return c.recordDecision(p, *decision, false), nil
			}
			if ctx.Err() != nil {
				return schedules.Decision{}, ctx.Err()
			}
			c.suspectLeader(leader, err)
			lastContact, failedLeader = time.Now(), leader
		}
		if time.Since(lastContact) >= maxLeaderWait(job) {
			return c.placeLocally(ctx, p, time.Since(arrived))
		}
		if !timers.Pause(ctx, leaderPollPeriod) {
			return schedules.Decision{}, ctx.Err()
		}
	}
}

// after returns a job as it is when a time has passed since it was made.
func withElapsed(job schedules.Job, elapsed time.Duration) schedules.Job {
	job.Target -= elapsed
	job.Patience -= elapsed
	job.Deadline -= elapsed
	return job
}

// silence returns how long a leader may take to answer a job's daemon.
func answerTimeout(job schedules.Job) time.Duration {
	return max(placeTimeout, time.Duration(answerTimeoutFraction*float64(job.Target)))
}

// leaderless returns how long a job waits for a leader before this daemon
// places it with what it knows itself.
func maxLeaderWait(job schedules.Job) time.Duration {
	if share := time.Duration(leaderWaitFraction * float64(job.Target)); share >= minLeaderWait {
		return share
	}
	return 0
}

// ask places a job at the leader. While the job waits there, answers that come
// too late do not end its wait: what the leader knows of other daemons' jobs is
// worth more than the time. An error means that the leader has lost the job or
// is not reached any more.
func (c *Client) placeAtLeader(ctx context.Context, client *rpc.Client, leader string, job schedules.Job) (*schedules.Decision, error) {
	reply := &Reply{}
	if err := peers.Call(client, ServiceName+".Place", job, reply, answerTimeout(job)); err != nil {
		return nil, err
	}
	lastAnswer := time.Now()
	for reply.Decision == nil {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		reply = &Reply{}
		err := peers.Call(client, ServiceName+".Await", job.ID, reply, maxAwait+placeTimeout)
		if err == nil {
			lastAnswer = time.Now()
			continue
		}
		reply = &Reply{} // the other one may still be written to
		var serverError rpc.ServerError
		if errors.As(err, &serverError) || time.Since(lastAnswer) > maxAwait+answerTimeout(job) {
			return nil, err
		}
		if reconnected, current := c.connection(); reconnected != nil && current == leader {
			client = reconnected
		} else if !timers.Pause(ctx, leaderPollPeriod) {
			return nil, ctx.Err()
		}
	}
	return reply.Decision, nil
}

func (c *Client) recordDecision(p *activeJob, d schedules.Decision, local bool) schedules.Decision {
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
func (c *Client) placeLocally(ctx context.Context, p *activeJob, elapsed time.Duration) (schedules.Decision, error) {
	job := withElapsed(p.job, elapsed)
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
	return c.recordDecision(p, *decision, true), nil
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
		c.queueUpdate(JobUpdate{Job: id, Started: true}, p.local)
	}
}

// End implements the note of a job's end.
func (c *Client) End(id schedules.JobID, outcome schedules.Outcome, blamed gypsumshelf.ServerID) {
	c.mu.Lock()
	p := c.jobs[id]
	delete(c.jobs, id)
	c.mu.Unlock()
	if p != nil {
		c.queueUpdate(JobUpdate{Job: id, Outcome: outcome, Blamed: blamed}, p.local)
	}
}

func (c *Client) queueUpdate(u JobUpdate, local bool) {
	if local {
		if u.Started {
			c.cfg.Local.Started(u.Job)
		} else {
			c.cfg.Local.End(u.Job, u.Outcome, u.Blamed)
		}
	}
	select {
	case c.updates <- u:
	default:
		c.cfg.Log.WithField("job", u.Job).Warn("a note to the scheduling daemon is dropped")
	}
}

// loop sends notes to the leader. It may have adopted jobs that were placed locally.
func (c *Client) sendUpdates() {
	defer c.wg.Done()
	for {
		var updates []JobUpdate
		select {
		case <-c.stop:
			return
		case u := <-c.updates:
			updates = append(updates, u)
		}
		time.Sleep(updateBatchDelay)
		for more := true; more; {
			select {
			case u := <-c.updates:
				updates = append(updates, u)
			default:
				more = false
			}
		}
		if client, leader := c.connection(); client != nil {
			if err := peers.Call(client, ServiceName+".Tell", updates, &struct{}{}, updateTimeout); err != nil && !errors.Is(err, rpc.ErrShutdown) {
				c.suspectLeader(leader, err)
			}
		}
	}
}
