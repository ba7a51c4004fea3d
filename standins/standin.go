package standins

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/google/uuid"

	"gypsumshelf.example/gypsumshelf"
)

// backend handles the requests of a unit: an Engine or a Plain.
type backend interface {
	http.Handler
	Running() int
	Arrivals() (int, time.Time)
	SetFaults(Faults)
}

// unitConfig configures a unit.
type unitConfig struct {
	Announcement gypsumshelf.Announcement // each start sets the address and the incarnation
	Daemons      []string
	Period       time.Duration
	RestartAfter time.Duration // time from a crash to the restart
	Backend      func(crashed func()) backend
}

// unit is one stand-in backend server of a fleet: its HTTP server, its announcer
// and the backend that handles its requests. It survives restarts.
type unit struct {
	cfg unitConfig

	mu        sync.Mutex
	backend   backend
	server    *http.Server
	announcer *Announcer
	restart   *time.Timer
	closed    bool
	arrivals  int // requests received by earlier incarnations
}

func newUnit(cfg unitConfig) (*unit, error) {
	u := &unit{cfg: cfg}
	return u, u.start()
}

// start starts a new incarnation on a new port. It does nothing if the stand-in
// is running or closed.
func (u *unit) start() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return merry.Prependf(err, "listener of stand-in %s", u.cfg.Announcement.Server)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.closed || u.server != nil {
		return listener.Close()
	}
	u.backend = u.cfg.Backend(u.crashed)
	s := &unitServer{server: &http.Server{Handler: u.backend}, listener: listener}
	u.server = s.server
	go s.run()
	a := u.cfg.Announcement
	a.Incarnation, a.Address = uuid.NewString(), listener.Addr().String()
	cfg := AnnouncerConfig{Announcement: a, Daemons: u.cfg.Daemons, Period: u.cfg.Period}
	if e, ok := u.backend.(*Engine); ok {
		cfg.Load = e.Load
	}
	u.announcer = NewAnnouncer(cfg)
	return nil
}

// crashed stops the unit and schedules its restart. The engine calls it in the
// goroutine of the request that crashed it. The stop therefore runs in another
// goroutine.
func (u *unit) crashed() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.closed {
		u.restart = time.AfterFunc(u.cfg.RestartAfter, u.revive)
		time.AfterFunc(0, u.kill)
	}
}

func (u *unit) revive() { _ = u.start() }

// kill closes the listener and all connections, as if the process was killed.
func (u *unit) kill() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.server == nil {
		return
	}
	n, _ := u.backend.Arrivals()
	u.arrivals += n
	if e, ok := u.backend.(*Engine); ok {
		e.Close()
	}
	u.server.Close()
	u.announcer.Close()
	u.server, u.announcer = nil, nil
}

// close stops the unit without a restart.
func (u *unit) close() {
	u.mu.Lock()
	u.closed = true
	if u.restart != nil {
		u.restart.Stop()
	}
	u.mu.Unlock()
	u.kill()
}

// setState announces a state. It does nothing if the unit is not running.
func (u *unit) setState(s gypsumshelf.ServerState) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.announcer != nil {
		u.announcer.SetState(s)
	}
}

func (u *unit) address() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.announcer == nil {
		return ""
	}
	return u.announcer.cfg.Announcement.Address
}

// UnitStatus is the status of one stand-in in the list of the control interface.
type UnitStatus struct {
	Server      gypsumshelf.ServerID    `json:"backend-server"`
	DataCentre  string                  `json:"data-centre"`
	State       gypsumshelf.ServerState `json:"state"` // empty when not running
	Running     int                     `json:"running"`
	Arrivals    int                     `json:"arrivals"`
	LastArrival time.Time               `json:"last-arrival"`
	Collapses   int                     `json:"collapses"`
}

func (u *unit) status() UnitStatus {
	u.mu.Lock()
	defer u.mu.Unlock()
	s := UnitStatus{Server: u.cfg.Announcement.Server, DataCentre: u.cfg.Announcement.DataCentre, Arrivals: u.arrivals}
	if u.server == nil {
		return s
	}
	n, last := u.backend.Arrivals()
	s.Arrivals += n
	s.LastArrival = last
	s.State = u.announcer.State()
	s.Running = u.backend.Running()
	if e, ok := u.backend.(*Engine); ok {
		s.Collapses = e.Collapses()
	}
	return s
}

type unitServer struct {
	server   *http.Server
	listener net.Listener
}

func (s *unitServer) run() { _ = s.server.Serve(s.listener) }
