package standins

import (
	"bytes"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"gypsumshelf.example/gypsumshelf"
)

// AnnouncerConfig configures an Announcer.
type AnnouncerConfig struct {
	Announcement gypsumshelf.Announcement
	Daemons      []string // IP:PORT of the daemons' listeners for backend servers
	Period       time.Duration
	Load         func() gypsumshelf.Load
}

// Announcer sends the announcement of a stand-in backend server periodically,
// each time to the next daemon in turn that accepts it.
type Announcer struct {
	cfg    AnnouncerConfig
	client *http.Client
	stop   chan struct{}
	wg     sync.WaitGroup

	sendMu   sync.Mutex // held while an announcement is sent, to keep them in order
	attempts int        // number of attempts to send, chooses the next daemon

	mu    sync.Mutex
	state gypsumshelf.ServerState
}

// NewAnnouncer starts an Announcer.
func NewAnnouncer(cfg AnnouncerConfig) *Announcer {
	a := &Announcer{cfg: cfg, client: &http.Client{Timeout: time.Second}, stop: make(chan struct{}), state: cfg.Announcement.State}
	a.wg.Add(1)
	go a.loop()
	return a
}

// SetState sets the announced state and announces it immediately.
func (a *Announcer) SetState(s gypsumshelf.ServerState) {
	a.mu.Lock()
	a.state = s
	a.mu.Unlock()
	a.announce()
}

// State returns the announced state.
func (a *Announcer) State() gypsumshelf.ServerState {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.state
}

// Close stops the announcements.
func (a *Announcer) Close() {
	close(a.stop)
	a.wg.Wait()
}

func (a *Announcer) loop() {
	defer a.wg.Done()
	ticker := time.NewTicker(a.cfg.Period)
	defer ticker.Stop()
	for {
		a.announce()
		select {
		case <-a.stop:
			return
		case <-ticker.C:
		}
	}
}

func (a *Announcer) announce() {
	a.sendMu.Lock()
	defer a.sendMu.Unlock()
	body := a.cfg.Announcement
	body.State = a.State()
	body.Sequence = uint64(time.Now().UnixMilli())
	if a.cfg.Load != nil {
		body.Load = a.cfg.Load()
	}
	data, err := json.Marshal(body)
	if err != nil {
		return
	}
	for range a.cfg.Daemons {
		address := a.cfg.Daemons[a.attempts%len(a.cfg.Daemons)]
		a.attempts++
		resp, err := a.client.Post("http://"+address+"/announce", "application/json", bytes.NewReader(data))
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusNoContent {
			return
		}
	}
}
