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

// backend handles the requests of a stand-in: an Engine or a PlainServer.
type backend interface {
	http.Handler
	Running() int
	Arrivals() (int, time.Time)
	SetFaults(Faults)
}

// standInConfig configures a stand-in.
type standInConfig struct {
	Announcement gypsumshelf.Announcement // each start sets the address and the incarnation
	Daemons      []string
	Period       time.Duration
	RestartAfter time.Duration // time from a crash to the restart
	Backend      func(crashed func()) backend
}

// standIn is one stand-in backend server of a fleet: its HTTP server, its
// announcer and the backend that handles its requests. Each start replaces them.
type standIn struct {
	cfg standInConfig

	mu              sync.Mutex
	backend         backend
	server          *http.Server
	announcer       *Announcer
	restartTimer    *time.Timer
	closed          bool
	earlierArrivals int // requests received by earlier incarnations
}

func newStandIn(cfg standInConfig) (*standIn, error) {
	s := &standIn{cfg: cfg}
	return s, s.start()
}

// start starts a new incarnation on a new port. It does nothing if the stand-in
// is running or closed.
func (s *standIn) start() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return merry.Prependf(err, "listener of stand-in %s", s.cfg.Announcement.Server)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.server != nil {
		return listener.Close()
	}
	s.backend = s.cfg.Backend(s.crashed)
	srv := &httpServer{server: &http.Server{Handler: s.backend}, listener: listener}
	s.server = srv.server
	go srv.run()
	a := s.cfg.Announcement
	a.Incarnation, a.Address = uuid.NewString(), listener.Addr().String()
	cfg := AnnouncerConfig{Announcement: a, Daemons: s.cfg.Daemons, Period: s.cfg.Period}
	if e, ok := s.backend.(*Engine); ok {
		cfg.Load = e.Load
	}
	s.announcer = NewAnnouncer(cfg)
	return nil
}

// crashed stops the stand-in and schedules its restart. The engine calls it in
// the goroutine of the request that crashed it, so the stop runs in another
// goroutine.
func (s *standIn) crashed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		s.restartTimer = time.AfterFunc(s.cfg.RestartAfter, s.restart)
		time.AfterFunc(0, s.kill)
	}
}

func (s *standIn) restart() { _ = s.start() }

// kill closes the listener and all connections, as if the process was killed.
func (s *standIn) kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server == nil {
		return
	}
	n, _ := s.backend.Arrivals()
	s.earlierArrivals += n
	if e, ok := s.backend.(*Engine); ok {
		e.Close()
	}
	s.server.Close()
	s.announcer.Close()
	s.server, s.announcer = nil, nil
}

// close stops the stand-in without a restart.
func (s *standIn) close() {
	s.mu.Lock()
	s.closed = true
	if s.restartTimer != nil {
		s.restartTimer.Stop()
	}
	s.mu.Unlock()
	s.kill()
}

// setState announces a state. It does nothing if the stand-in is not running.
func (s *standIn) setState(state gypsumshelf.ServerState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.announcer != nil {
		s.announcer.SetState(state)
	}
}

func (s *standIn) address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.announcer == nil {
		return ""
	}
	return s.announcer.cfg.Announcement.Address
}

// ServerStatus is the status of one stand-in, as the control interface lists it.
type ServerStatus struct {
	Server      gypsumshelf.ServerID    `json:"backend-server"`
	DataCentre  string                  `json:"data-centre"`
	State       gypsumshelf.ServerState `json:"state"` // empty when not running
	Running     int                     `json:"running"`
	Arrivals    int                     `json:"arrivals"`
	LastArrival time.Time               `json:"last-arrival"`
	Collapses   int                     `json:"collapses"`
}

func (s *standIn) status() ServerStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	status := ServerStatus{Server: s.cfg.Announcement.Server, DataCentre: s.cfg.Announcement.DataCentre, Arrivals: s.earlierArrivals}
	if s.server == nil {
		return status
	}
	n, last := s.backend.Arrivals()
	status.Arrivals += n
	status.LastArrival = last
	status.State = s.announcer.State()
	status.Running = s.backend.Running()
	if e, ok := s.backend.(*Engine); ok {
		status.Collapses = e.Collapses()
	}
	return status
}

type httpServer struct {
	server   *http.Server
	listener net.Listener
}

func (s *httpServer) run() { _ = s.server.Serve(s.listener) }
