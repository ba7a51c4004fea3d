package dispatchers

import (
	"context"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/crashes"
	"gypsumshelf.example/gypsumshelf/faults"
	"gypsumshelf.example/gypsumshelf/paths"
	"gypsumshelf.example/gypsumshelf/schedules"
)

// ServiceName is the name of the net/rpc service. It is part of the protocol
// between daemons and therefore not the name of the package.
const ServiceName = "Desk"

// maxAwait bounds the duration of an Await call, so that its caller detects a
// dead connection.
const maxAwait = 300 * time.Millisecond

// Reply carries a decision, or nil while the job waits.
type Reply struct {
	Decision *schedules.Decision
	Paths    []paths.Report // in the answer to Place: those of the job's data centre that are not sound
	// Busy are, in the answer to Place, the engines of the job's service that work for long
	// prompts.
	Busy []gypsumshelf.ServerID
}

// JobUpdate reports the first event or the end of a job. Instead of a job, it may carry
// a crash, the causes of a request that was answered without a job, or what an answer
// said about the limit or the pace of its server, or that the entry daemon stops.
type JobUpdate struct {
	Job       schedules.JobID
	Started   bool // true for the first event, false for the end of the job
	Outcome   schedules.Outcome
	Blamed    gypsumshelf.ServerID // engine at fault, empty for the primary
	Crash     *crashes.Report
	Completed []crashes.Cause
	Abandoned *crashes.Report // of requests whose backend server may yet end, from a daemon that stops
	Limit     *schedules.ServerLimit
	Stop      *DaemonStop             // of the entry daemon that sends the update
	Paths     []paths.Sample          // evidence about paths
	Answer    *schedules.ServerAnswer // of a plain server that has started or recovered
}

// DaemonStop says that an entry daemon breaks off its requests for a planned stop.
type DaemonStop struct {
	Daemon gypsumshelf.DaemonID
	After  time.Duration
}

// apply applies an update.
func (d *Dispatcher) apply(u JobUpdate) {
	switch {
	case u.Crash != nil:
		d.RecordCrash(*u.Crash)
	case u.Abandoned != nil:
		d.RecordAbandoned(*u.Abandoned)
	case u.Completed != nil:
		d.RecordCompleted(u.Completed)
	case u.Limit != nil:
		d.RecordLimit(*u.Limit)
	case u.Paths != nil:
		d.RecordPaths(u.Paths)
	case u.Answer != nil:
		d.RecordAnswer(*u.Answer)
	case u.Stop != nil:
		d.StopDaemon(*u.Stop)
	case u.Started:
		d.Started(u.Job)
	default:
		d.End(u.Job, u.Outcome, u.Blamed)
	}
}

// AdoptedJob is an active job that a new leader takes over.
type AdoptedJob struct {
	Job       schedules.Job
	Placement schedules.Placement
	Started   bool
}

// Service serves a dispatcher over net/rpc.
type Service struct{ dispatcher *Dispatcher }

// NewService returns the service of a dispatcher.
func NewService(d *Dispatcher) *Service { return &Service{dispatcher: d} }

// Place submits a job.
func (s *Service) Place(job schedules.Job, reply *Reply) (err error) {
	defer faults.Recover(s.dispatcher.cfg.Log, ServiceName+".Place", &err)
	reply.Decision, err = s.dispatcher.Place(job)
	reply.Paths = s.dispatcher.PathReports(job.DataCentre)
	reply.Busy = s.dispatcher.busyEngines(job.Service)
	return err
}

// Await waits for a decision for at most maxAwait.
func (s *Service) Await(id schedules.JobID, reply *Reply) (err error) {
	defer faults.Recover(s.dispatcher.cfg.Log, ServiceName+".Await", &err)
	ctx, cancel := context.WithTimeout(context.Background(), maxAwait)
	defer cancel()
	reply.Decision, err = s.dispatcher.Await(ctx, id)
	return err
}

// Admit chooses a server among those that have named limits.
func (s *Service) Admit(r schedules.AdmissionRequest, reply *schedules.Admission) (err error) {
	defer faults.Recover(s.dispatcher.cfg.Log, ServiceName+".Admit", &err)
	*reply, err = s.dispatcher.Admit(r)
	return err
}

// Tell records updates of jobs.
func (s *Service) Tell(updates []JobUpdate, _ *struct{}) (err error) {
	defer faults.Recover(s.dispatcher.cfg.Log, ServiceName+".Tell", &err)
	for _, u := range updates {
		s.dispatcher.apply(u)
	}
	return nil
}

// Questioned returns the causes of handed-over crashes of which a new leader does not know
// whether requests with them were answered.
func (s *Service) Questioned(_ struct{}, causes *[]crashes.Cause) (err error) {
	defer faults.Recover(s.dispatcher.cfg.Log, ServiceName+".Questioned", &err)
	*causes = s.dispatcher.questionedCauses()
	return nil
}

// Adopt takes over active jobs. It fails while the scheduler is not active.
func (s *Service) Adopt(jobs []AdoptedJob, _ *struct{}) (err error) {
	defer faults.Recover(s.dispatcher.cfg.Log, ServiceName+".Adopt", &err)
	return s.dispatcher.Adopt(jobs)
}
