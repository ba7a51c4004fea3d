package standins

import (
	"encoding/json"
	"net/http"

	"gypsumshelf.example/gypsumshelf"
)

// Control is the HTTP interface that controls a fleet during a measurement.
//
//	GET  /servers                          list of ServerStatus
//	POST /servers/{id}/{action}            ready, leaving, cold or dead
//	POST /data-centres/{name}/{action}     the same for all servers of a data centre
//	PUT  /servers/{id}/faults              body: Faults
//	GET  /calls                            object: number of runs by call id
type Control struct {
	fleet *Fleet
	mux   *http.ServeMux
}

// NewControl returns a Control of a fleet.
func NewControl(f *Fleet) *Control {
	c := &Control{fleet: f, mux: http.NewServeMux()}
	c.mux.HandleFunc("GET /servers", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, f.Status()) })
	c.mux.HandleFunc("GET /calls", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, f.CallCounter().Runs()) })
	c.mux.HandleFunc("POST /servers/{id}/{action}", c.applyAction)
	c.mux.HandleFunc("POST /data-centres/{name}/{action}", c.applyAction)
	c.mux.HandleFunc("PUT /servers/{id}/faults", c.setFaults)
	return c
}

// ServeHTTP implements http.Handler.
func (c *Control) ServeHTTP(w http.ResponseWriter, r *http.Request) { c.mux.ServeHTTP(w, r) }

func (c *Control) applyAction(w http.ResponseWriter, r *http.Request) {
	err := c.fleet.ApplyAction(r.PathValue("action"), gypsumshelf.ServerID(r.PathValue("id")), r.PathValue("name"))
	writeResult(w, err)
}

func (c *Control) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	err := json.NewDecoder(r.Body).Decode(&f)
	if err == nil {
		err = c.fleet.SetFaults(gypsumshelf.ServerID(r.PathValue("id")), f)
	}
	writeResult(w, err)
}

func writeResult(w http.ResponseWriter, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
