package standins

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/google/uuid"

	"gypsumshelf.example/gypsumshelf"
)

// FleetConfig configures a Fleet.
type FleetConfig struct {
	Service     string
	Engines     int
	Engine      EngineConfig
	DataCentres []string // engines are spread over them in turn
	Daemons     []string // IP:PORT of the daemons' listeners for backend servers
	Period      time.Duration
}

// Fleet runs stand-in engines that announce themselves.
type Fleet struct {
	servers    []*http.Server
	announcers []*Announcer
}

// NewFleet returns a running Fleet on loopback addresses.
func NewFleet(cfg FleetConfig) (*Fleet, error) {
	f := &Fleet{}
	for i := range cfg.Engines {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			f.Close()
			return nil, fmt.Errorf("listener of stand-in engine: %w", err)
		}
		engine := NewEngine(cfg.Engine)
		server := &engineServer{server: &http.Server{Handler: engine}, listener: listener}
		f.servers = append(f.servers, server.server)
		go server.run()
		f.announcers = append(f.announcers, NewAnnouncer(AnnouncerConfig{
			Announcement: gypsumshelf.Announcement{
				Server: gypsumshelf.ServerID(fmt.Sprintf("%s-%02d", cfg.Service, i+1)), Incarnation: uuid.NewString(),
				Address: listener.Addr().String(), DataCentre: cfg.DataCentres[i%len(cfg.DataCentres)],
				Service: cfg.Service, Kind: gypsumshelf.KindEngine, Models: []string{cfg.Engine.Model},
				MemoryTokens: cfg.Engine.MemoryTokens, State: gypsumshelf.ServerReady,
			},
			Daemons: cfg.Daemons, Period: cfg.Period, Load: engine.Load,
		}))
	}
	return f, nil
}

// Close stops all engines and their announcements.
func (f *Fleet) Close() {
	for _, a := range f.announcers {
		a.Close()
	}
	for _, s := range f.servers {
		s.Close()
	}
}

type engineServer struct {
	server   *http.Server
	listener net.Listener
}

func (s *engineServer) run() { _ = s.server.Serve(s.listener) }
