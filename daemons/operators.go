package daemons

import (
	"context"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/configs"
	"gypsumshelf.example/gypsumshelf/operators"
	"gypsumshelf.example/gypsumshelf/settings"
)

// operate has a command decided by the replicated log and returns its result.
func (d *Daemon) operate(ctx context.Context, command configs.OperatorCommand) (configs.Result, error) {
	ticket, decided := d.decisions.register()
	defer d.decisions.cancel(ticket)
	d.loop.Submit(configs.CommandProposed{Ticket: ticket, Command: command, Timeout: operators.CommandTimeout})
	select {
	case d := <-decided:
		return d.Result, d.Err
	case <-ctx.Done():
		return configs.Result{}, ErrUnknownOutcome
	case <-d.loop.stop:
		return configs.Result{}, ErrUnknownOutcome
	}
}

func (d *Daemon) sendProposal(e configs.ForwardProposal) { d.links.Send(e.To, e.Proposal) }

func (d *Daemon) operatorHandler() *operators.Handler {
	return operators.New(operators.Config{
		Status: d.status, Explain: d.explain, History: d.history, Execute: d.operate,
	})
}

func (d *Daemon) ready(ctx context.Context) (ready bool) {
	d.loop.Query(ctx, func(r *Reducer) { ready = r.ready(d.timers.Now()) })
	return ready
}

func (d *Daemon) class(ctx context.Context, name string) (class gypsumshelf.Class, ok bool) {
	d.loop.Query(ctx, func(r *Reducer) { class, ok = r.configuration.state.Class(name) })
	return class, ok
}

func (d *Daemon) history(ctx context.Context) (history []configs.AcceptedChange, ok bool) {
	ok = d.loop.Query(ctx, func(r *Reducer) { history = r.configuration.state.History() })
	return history, ok
}

func (d *Daemon) status(ctx context.Context) (status operators.Status, ok bool) {
	status.Daemon = d.settings.Daemon
	ok = d.loop.Query(ctx, func(r *Reducer) {
		c := r.configuration
		status.Ready = c.leaseValid(d.timers.Now())
		status.Leader, _ = c.log.Leader()
		status.Revision = c.state.Revision()
		status.TakenOut = c.state.TakenOut()
		for _, class := range c.state.Classes() {
			status.Classes = append(status.Classes, operators.ClassStatus{
				Name: class.Name, FirstToken: settings.Duration(class.Target.FirstToken), Finish: settings.Duration(class.Target.Finish),
			})
		}
		for _, s := range r.servers.All() {
			n, _ := s.InFlight()
			status.BackendServers = append(status.BackendServers, operators.ServerStatus{Announcement: s.Announcement(), Attempts: n})
		}
	})
	return status, ok
}
