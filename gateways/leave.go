package gateways

import (
	"time"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/controls"
	"gypsumshelf.example/gypsumshelf/peers"
)

const (
	// leaveReportTimeout bounds the report of a leave to one control daemon.
	leaveReportTimeout = 300 * time.Millisecond
	// leaveReportTargets is the number of control daemons that a leave is reported to.
	// Each tells the others, so that the second one only counts if the first is lost.
	leaveReportTargets = 2
)

// ReportLeave implements forwards.LeaveReporter.
func (g *Gateway) ReportLeave(server gypsumshelf.ServerID, born int64) {
	go (&leaveReport{gateway: g, report: controls.LeaveReport{Server: server, Born: born}}).run()
}

// leaveReport tells control daemons that a backend server leaves.
type leaveReport struct {
	gateway *Gateway
	report  controls.LeaveReport
}

func (l *leaveReport) run() {
	told := 0
	for _, address := range l.gateway.subscriber.Reachable() {
		client, _ := l.gateway.subscriber.Client(address)
		if client == nil {
			continue
		}
		if err := peers.Call(client, controls.ServiceName+".ReportLeave", l.report, &struct{}{}, leaveReportTimeout); err != nil {
			l.gateway.cfg.Log.WithField("control-daemon", address).WithError(err).Warn("cannot report the leave of a backend server")
			continue
		}
		if told++; told == leaveReportTargets {
			return
		}
	}
}
