package dispatchers

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/crashes"
	"gypsumshelf.example/gypsumshelf/directories"
	"gypsumshelf.example/gypsumshelf/peers"
	"gypsumshelf.example/gypsumshelf/schedules"
	"gypsumshelf.example/gypsumshelf/timers"
)

const (
	// placeTimeout is the shortest time after which a leader counts as
	// unresponsive and is avoided for suspectDuration. Half of the shortest target
	// is left then.
	placeTimeout    = 120 * time.Millisecond
	suspectDuration = 500 * time.Millisecond
	// answerTimeoutFraction is the fraction of its target that a job waits for the
	// leader's answer. Lost packets are retransmitted after 200 ms or more.
	answerTimeoutFraction = 0.4
	// leaderWaitFraction is the fraction of its target that a job waits for a
	// leader. A job that would wait for less than minLeaderWait does not wait,
	// since a connection is not restored in that time.
	leaderWaitFraction = 0.2
	minLeaderWait      = 200 * time.Millisecond
	// leaderPollPeriod is the period at which a waiting job checks for a leader.
	leaderPollPeriod = 20 * time.Millisecond
	// updateTimeout bounds calls that no request waits for.
	updateTimeout = time.Second
	// updateQueueSize is the capacity of the queue of job updates. A lost update
	// is harmless after the deadline of its job, when the scheduler removes the
	// job.
	updateQueueSize = 1024
	// handOverRetryDelay is a part of the time in which a connection to a new leader is
	// made.
	handOverRetryDelay = 50 * time.Millisecond
	// updateRetryDelay is the time after which updates are sent again that no leader took.
	updateRetryDelay = 50 * time.Millisecond
	// updateBatchDelay is the time for which updates are collected into one call.
	updateBatchDelay = 5 * time.Millisecond
)

// ClientConfig configures a Client.
type ClientConfig struct {
	Daemon gypsumshelf.DaemonID    // the daemon of the jobs
	Feeds  *directories.Subscriber // provides the connection to the leader
	Local  *Dispatcher             // used while no leader answers
	// DialLeader opens a second connection to the leader, directly if it is nil.
	DialLeader func(ctx context.Context, address string) (net.Conn, error)
	Log        *logrus.Entry
}

// activeJob is a job that waits or is in progress.
type activeJob struct {
	job       schedules.Job
	placement *schedules.Placement // nil while it waits
	started   bool
	local     bool
}

// Client schedules jobs at the leader, or at the local scheduler while no
// leader answers.
type Client struct {
	cfg         ClientConfig
	updates     chan JobUpdate
	handOverDue chan struct{} // receives a value when the leader does not know of a placement
	handedOver  chan struct{} // receives a value after a hand-over
	stop        chan struct{}
	wg          sync.WaitGroup

	stalls     atomic.Uint64 // on streams from other data centres
	handOverMu sync.Mutex    // held while jobs are handed over

	mu             sync.Mutex
	leader         string
	term           uint64
	suspectUntil   time.Time // the leader is avoided until this time
	primarySuspect time.Time // the connection of Feeds is avoided until this time, if there is another one
	informedLeader string    // leader that the active jobs were handed over to
	jobs           map[schedules.JobID]*activeJob
	evidence       evidence
	samples        pendingSamples
	limits         knownLimits
	backup         backup
	stopAt         time.Time // when this daemon breaks off its requests, zero if it does not stop
}

// NewClient returns a running Client.
func NewClient(cfg ClientConfig) *Client {
	c := &Client{cfg: cfg, updates: make(chan JobUpdate, updateQueueSize), handOverDue: make(chan struct{}, 1), handedOver: make(chan struct{}, 1), stop: make(chan struct{}), jobs: map[schedules.JobID]*activeJob{}, limits: knownLimits{}}
	if c.backup.dial = cfg.DialLeader; c.backup.dial == nil {
		c.backup.dial = func(ctx context.Context, address string) (net.Conn, error) {
			return new(net.Dialer).DialContext(ctx, "tcp", address)
		}
	}
	cfg.Local.SetActive(true)
	c.wg.Add(1)
	go c.sendUpdates()
	return c
}

// Close sends the last updates and stops the client. It must be called before the
// connections to the control daemons are closed.
func (c *Client) Close() {
	close(c.stop)
	c.wg.Wait()
	c.backup.close()
}

// SetLeader sets the leader that a control daemon reported. Reports of an older
// term are ignored.
func (c *Client) SetLeader(address string, term uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if term < c.term || address == "" || term == c.term && address == c.leader {
		return
	}
	c.leader, c.term, c.suspectUntil = address, term, time.Time{}
	c.primarySuspect = time.Time{}
	c.informedLeader = "" // also a leader that is elected again has lost what it knew
	c.requestHandOver()
	c.cfg.Log.WithFields(logrus.Fields{"leader": address, "term": term}).Info("engine work is scheduled by another daemon")
}

// connection returns the connection to the leader and its address, or nil if
// there is no usable one.
func (c *Client) connection() (*rpc.Client, string) {
	leader := c.usableLeader()
	if leader == "" {
		return nil, ""
	}
	client := c.clientOf(leader)
	if client == nil || !c.handOverJobs(client, leader) {
		return nil, ""
	}
	return client, leader
}

// HasLeader reports whether there is a connection to a leader that answers.
func (c *Client) HasLeader() bool {
	leader := c.usableLeader()
	if leader == "" {
		return false
	}
	return c.clientOf(leader) != nil
}

// usableLeader returns the address of the leader, empty if there is none or it is
// avoided.
func (c *Client) usableLeader() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.suspectUntil) {
		return ""
	}
	return c.leader
}

// handOverJobs sends the placed jobs and the known crashes and limits to a new leader,
// once, and reports whether the leader knows them. A call that runs meanwhile waits,
// since the leader must know of the jobs before it places others.
func (c *Client) handOverJobs(client *rpc.Client, leader string) bool {
	c.handOverMu.Lock()
	defer c.handOverMu.Unlock()
	c.mu.Lock()
	informed, suspect := c.informedLeader == leader, time.Now().Before(c.suspectUntil)
	if informed || suspect {
		c.mu.Unlock()
		return !suspect
	}
	c.informedLeader = leader
	var jobs []AdoptedJob
	for _, p := range c.jobs {
		if p.placement != nil {
			jobs = append(jobs, AdoptedJob{Job: p.job, Placement: *p.placement, Started: p.started})
		}
	}
	known := append(c.evidence.updates(time.Now()), c.limits.updates(time.Now())...)
	c.mu.Unlock()
	known = append(known, c.stopUpdates()...)
	known = append(known, c.pathUpdates()...)
	err := peers.Call(client, ServiceName+".Adopt", jobs, &struct{}{}, placeTimeout)
	if err == nil && len(known) > 0 {
		err = peers.Call(client, ServiceName+".Tell", known, &struct{}{}, placeTimeout)
	}
	switch {
	case err == nil:
		select {
		case c.handedOver <- struct{}{}:
		default:
		}
		return true
	case isInactive(err):
		c.forgetHandOver()
	default:
		c.suspectLeader(leader, err)
	}
	return false
}

// isInactive reports whether a call failed because the scheduler is not active. A new
// leader starts it within milliseconds of its election, of which others tell too.
func isInactive(err error) bool {
	var serverError rpc.ServerError
	return errors.As(err, &serverError) && string(serverError) == ErrInactive.Error()
}

// forgetHandOver makes the next call hand everything over again.
func (c *Client) forgetHandOver() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.informedLeader = ""
}

// suspectLeader avoids a leader for suspectDuration after a failed call, unless another
// one has followed it meanwhile. The placed jobs are handed over to it again afterwards.
func (c *Client) suspectLeader(leader string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if leader != c.leader {
		return
	}
	if c.useBackup(leader) {
		c.cfg.Log.WithField("leader", leader).WithError(err).Info("the connection to the scheduling daemon does not answer; the second one is used")
		return
	}
	c.suspectUntil = time.Now().Add(suspectDuration)
	c.informedLeader = ""
	c.cfg.Log.WithField("leader", leader).WithError(err).Warn("the scheduling daemon does not answer; engine work is scheduled locally")
}

// Place submits a job and waits for the decision. Its caller cancels ctx before it calls
// End for a job that is no longer to be placed.
func (c *Client) Place(ctx context.Context, job schedules.Job) (schedules.Decision, error) {
	p := &activeJob{job: job}
	if err := c.add(ctx, p); err != nil {
		return schedules.Decision{}, err
	}
	arrived := time.Now()
	lastContact := arrived // with a leader
	failedLeader := ""     // leader that has lost the job
	for {
		if client, leader := c.connection(); client != nil && leader != failedLeader {
			decision, err := c.placeAtLeader(ctx, client, leader, c.current(job, time.Since(arrived)))
			if err == nil {
				decision.Scheduler = leader
				return c.recordDecision(p, *decision), nil
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
		if !timers.Sleep(ctx, leaderPollPeriod) {
			return schedules.Decision{}, ctx.Err()
		}
	}
}

// add adds a job, unless it has ended already: End may run before Place does.
func (c *Client) add(ctx context.Context, p *activeJob) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := ctx.Err(); err != nil {
		return err
	}
	c.jobs[p.job.ID] = p
	return nil
}

// answerTimeout returns how long a client waits for the leader's answer about a
// job.
func answerTimeout(job schedules.Job) time.Duration {
	return max(placeTimeout, time.Duration(answerTimeoutFraction*float64(job.Target)))
}

// maxLeaderWait returns how long a job waits for a leader before it is
// scheduled locally.
func maxLeaderWait(job schedules.Job) time.Duration {
	if share := time.Duration(leaderWaitFraction * float64(job.Target)); share >= minLeaderWait {
		return share
	}
	return 0
}

// placeAtLeader submits a job to the leader and waits for the decision. Late
// answers do not end the wait, because the leader knows the jobs of all daemons
// and places better than the local scheduler. An error means that the leader
// has lost the job or is not reachable any more.
func (c *Client) placeAtLeader(ctx context.Context, client *rpc.Client, leader string, job schedules.Job) (*schedules.Decision, error) {
	reply, err := c.callPlace(client, leader, job)
	if err != nil {
		return nil, err
	}
	c.cfg.Local.learn(job, reply)
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
		reply = &Reply{} // the timed-out call may still write to the old reply
		var serverError rpc.ServerError
		if errors.As(err, &serverError) || time.Since(lastAnswer) > maxAwait+answerTimeout(job) {
			return nil, err
		}
		if reconnected, current := c.connection(); reconnected != nil && current == leader {
			client = reconnected
		} else if !timers.Sleep(ctx, leaderPollPeriod) {
			return nil, ctx.Err()
		}
	}
	return reply.Decision, nil
}

// recordDecision stores a decision. A leader that took over meanwhile, from another
// one or from the local scheduler, does not know of the placement, so the jobs are
// handed over to it again. The placement of a job that has ended is given back.
func (c *Client) recordDecision(p *activeJob, d schedules.Decision) schedules.Decision {
	if ended := c.storeDecision(p, d); ended && d.Placement != nil {
		c.queueUpdate(JobUpdate{Job: p.job.ID, Outcome: schedules.Cancelled}, p.local)
	}
	return d
}

// storeDecision stores a decision and reports whether the job has ended meanwhile.
func (c *Client) storeDecision(p *activeJob, d schedules.Decision) (ended bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p.placement, p.local = d.Placement, d.Scheduler == ""
	ended = c.jobs[p.job.ID] == nil
	if d.Placement == nil {
		delete(c.jobs, p.job.ID)
	} else if c.informedLeader != "" && c.informedLeader != d.Scheduler {
		c.informedLeader = ""
		c.requestHandOver()
	}
	return ended
}

// requestHandOver makes sendUpdates hand over the jobs.
func (c *Client) requestHandOver() {
	select {
	case c.handOverDue <- struct{}{}:
	default: // one is due already
	}
}

// placeLocally submits a job to the local scheduler. The time that the job
// waited for a leader counts against its durations.
func (c *Client) placeLocally(ctx context.Context, p *activeJob, elapsed time.Duration) (schedules.Decision, error) {
	job := c.current(p.job, elapsed)
	decision, err := c.cfg.Local.Place(job)
	if err == nil && decision == nil {
		decision, err = c.cfg.Local.Await(ctx, job.ID)
	}
	if err == nil && decision == nil {
		err = errors.Join(ctx.Err(), errUndecided)
	}
	if err != nil {
		// End does not know yet that the job waits here.
		c.cfg.Local.End(job.ID, schedules.Cancelled, "")
		return schedules.Decision{}, err
	}
	return c.recordDecision(p, *decision), nil
}

var errUndecided = errors.New("the request ended before an engine was free")

// Started reports the first event of a job.
func (c *Client) Started(id schedules.JobID) {
	c.mu.Lock()
	p, local := c.jobs[id], false
	if p != nil {
		p.started, local = true, p.local
	}
	c.mu.Unlock()
	if p != nil {
		c.queueUpdate(JobUpdate{Job: id, Started: true}, local)
	}
}

// End reports the end of a job.
func (c *Client) End(id schedules.JobID, outcome schedules.Outcome, blamed gypsumshelf.ServerID) {
	c.mu.Lock()
	p, local := c.jobs[id], false
	if p != nil {
		local = p.local
	}
	delete(c.jobs, id)
	var unreported []crashes.Cause
	if p != nil && outcome == schedules.Completed {
		unreported = c.evidence.addCompleted(time.Now(), p.job.Causes)
	}
	c.mu.Unlock()
	if p == nil {
		return
	}
	c.queueUpdate(JobUpdate{Job: id, Outcome: outcome, Blamed: blamed}, local)
	if !local && len(unreported) > 0 {
		c.cfg.Local.RecordCompleted(unreported)
	}
}

// notLocal is the local parameter of queueUpdate for updates that are not about a job
// of the local scheduler.
const notLocal = false

func (c *Client) queueUpdate(u JobUpdate, local bool) {
	if local {
		c.cfg.Local.apply(u)
	}
	select {
	case c.updates <- u:
	default:
		c.cfg.Log.WithField("job", u.Job).Warn("the queue of updates to the scheduling daemon is full; an update was dropped")
		c.handOverAgain([]JobUpdate{u})
	}
}

// handOverAgain makes the leader get known crashes and limits once more, if any of them are
// among updates that it did not get.
func (c *Client) handOverAgain(updates []JobUpdate) {
	if slices.ContainsFunc(updates, func(u JobUpdate) bool { return u.Crash != nil || u.Limit != nil }) {
		c.forgetHandOver()
		c.requestHandOver()
	}
}

// handOver hands over what the leader does not know. It returns nil, or a channel that
// receives the time to try again.
func (c *Client) handOver() <-chan time.Time {
	if client, _ := c.connection(); client != nil {
		return nil
	}
	return time.After(handOverRetryDelay)
}

// sendUpdates sends queued updates to the leader. It also sends those of jobs
// that were placed locally, since the leader may have adopted them.
func (c *Client) sendUpdates() {
	defer c.wg.Done()
	var retry, resend, question <-chan time.Time
	var unsent []JobUpdate
	questions := 0
	for {
		updates := unsent
		select {
		case <-c.stop:
			c.flush(unsent)
			return
		case <-c.handOverDue:
			retry = c.handOver()
			continue
		case <-retry:
			retry = c.handOver()
			continue
		case <-c.handedOver:
			question, questions = time.After(questionPeriod), questionTries
			continue
		case <-question:
			c.answerQuestions()
			if questions--; questions > 0 {
				question = time.After(questionPeriod)
			}
			continue
		case <-resend:
		case u := <-c.updates:
			updates = append(updates, u)
		}
		time.Sleep(updateBatchDelay)
		unsent, resend = c.tell(c.appendQueued(updates)), nil
		if len(unsent) > 0 {
			resend = time.After(updateRetryDelay)
		}
	}
}

// appendQueued appends the queued updates.
func (c *Client) appendQueued(updates []JobUpdate) []JobUpdate {
	for {
		select {
		case u := <-c.updates:
			updates = append(updates, u)
		default:
			return updates
		}
	}
}

var errNoLeader = errors.New("there is no connection to the leader")

// flush sends the last updates, once: the daemon ends.
func (c *Client) flush(unsent []JobUpdate) {
	updates := c.appendQueued(unsent)
	if len(updates) == 0 {
		return
	}
	err := errNoLeader
	if client := c.clientOf(c.usableLeader()); client != nil {
		err = peers.Call(client, ServiceName+".Tell", updates, &struct{}{}, placeTimeout)
	}
	if err != nil {
		c.cfg.Log.WithField("updates", len(updates)).WithError(err).Warn("the leader may not know of the last ends of jobs")
	}
}

// tell sends updates to the leader and returns those that are to be sent again: without
// its end, a job would keep its slots until its deadline, and jobs would wait beyond the
// stop of their daemon. What is known of crashes and limits is handed over anyway.
func (c *Client) tell(updates []JobUpdate) (unsent []JobUpdate) {
	c.refreshStops(updates)
	client, leader := c.connection()
	if client != nil {
		err := peers.Call(client, ServiceName+".Tell", updates, &struct{}{}, updateTimeout)
		var refused rpc.ServerError
		if err == nil || errors.As(err, &refused) && !isInactive(err) {
			return nil
		}
		if !errors.Is(err, rpc.ErrShutdown) {
			c.suspectLeader(leader, err)
		}
	}
	c.handOverAgain(updates)
	unsent = slices.DeleteFunc(updates, func(u JobUpdate) bool { return u.Job == "" && u.Stop == nil })
	if excess := len(unsent) - updateQueueSize; excess > 0 {
		c.cfg.Log.WithField("dropped", excess).Warn("no leader takes updates of jobs; the oldest were dropped")
		unsent = slices.Delete(unsent, 0, excess)
	}
	return unsent
}
