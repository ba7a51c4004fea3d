package desks

import (
	"context"
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/schedules"
)

// ServiceName is the name of the net/rpc service.
const ServiceName = "Desk"

// awaitHold is the longest time that an Await call is kept open, so that its
// caller notices a dead connection.
const awaitHold = 300 * time.Millisecond

// Reply carries a decision, which is absent while the job waits.
type Reply struct{ Decision *schedules.Decision }

// Note tells what happened to a job.
type Note struct {
	Job     schedules.JobID
	Started bool // first event seen; otherwise the job has ended
	Outcome schedules.Outcome
	Blamed  gypsumshelf.ServerID // engine at fault, empty for the one that wrote the answer
}

// Adoption is a job in progress that a new leader is told of.
type Adoption struct {
	Job       schedules.Job
	Placement schedules.Placement
	Started   bool
}

// Service serves a desk over net/rpc.
type Service struct{ desk *Desk }

// NewService returns the service of a desk.
func NewService(d *Desk) *Service { return &Service{desk: d} }

// Place submits a job.
func (s *Service) Place(job schedules.Job, reply *Reply) (err error) {
	reply.Decision, err = s.desk.Place(job)
	return err
}

// Await waits for a decision for at most awaitHold.
func (s *Service) Await(id schedules.JobID, reply *Reply) (err error) {
	ctx, cancel := context.WithTimeout(context.Background(), awaitHold)
	defer cancel()
	reply.Decision, err = s.desk.Await(ctx, id)
	return err
}

// Tell takes notes about jobs.
func (s *Service) Tell(notes []Note, _ *struct{}) error {
	for _, n := range notes {
		if n.Started {
			s.desk.Started(n.Job)
		} else {
			s.desk.End(n.Job, n.Outcome, n.Blamed)
		}
	}
	return nil
}

// Adopt takes over jobs in progress.
func (s *Service) Adopt(jobs []Adoption, _ *struct{}) error {
	for _, j := range jobs {
		s.desk.Adopt(j.Job, j.Placement, j.Started)
	}
	return nil
}
