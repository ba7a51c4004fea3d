package controls

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"gypsumshelf.example/gypsumshelf/catalogs"
	"gypsumshelf.example/gypsumshelf/crashes"
)

// QuarantinesPath is the path at which operators list quarantines, and below which they
// lift the one of a cause.
const QuarantinesPath = "/quarantines"

// QuarantineState reads and changes the replicated state.
type QuarantineState interface {
	ReadState(ctx context.Context) (catalogs.State, error)
	ProposeOrder(ctx context.Context, c catalogs.Command) error
}

// ListedQuarantine is a quarantine as operators see it.
type ListedQuarantine struct {
	Cause crashes.Cause `json:"cause"`
	Until time.Time     `json:"until"`
}

// quarantineHandler serves the operators' calls about quarantines.
type quarantineHandler struct {
	state QuarantineState
	now   func() time.Time
	log   *logrus.Entry
}

// NewQuarantineHandler returns the handler of GET QuarantinesPath, which lists the
// quarantines in force as JSON, and of DELETE QuarantinesPath/CAUSE, which lifts one
// with 204, or 404 if there is none. A call that cannot be served now is answered with
// 503 and may be repeated.
func NewQuarantineHandler(state QuarantineState, now func() time.Time, log *logrus.Entry) http.Handler {
	h := &quarantineHandler{state: state, now: now, log: log}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+QuarantinesPath, h.list)
	mux.HandleFunc("DELETE "+QuarantinesPath+"/{cause}", h.lift)
	return mux
}

// inForce returns the quarantines that have not ended, by a linearizable read.
func (h *quarantineHandler) inForce(ctx context.Context) ([]ListedQuarantine, error) {
	s, err := h.state.ReadState(ctx)
	if err != nil {
		return nil, err
	}
	listed := []ListedQuarantine{}
	for _, q := range s.Quarantines {
		if h.now().Before(q.Until) {
			listed = append(listed, ListedQuarantine{Cause: q.Cause, Until: q.Until})
		}
	}
	return listed, nil
}

func (h *quarantineHandler) list(w http.ResponseWriter, r *http.Request) {
	listed, err := h.inForce(r.Context())
	if err != nil {
		h.reject(w, r, http.StatusServiceUnavailable, err.Error())
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(listed); err != nil {
		h.log.WithError(err).Warn("the list of quarantines could not be sent")
	}
}

func (h *quarantineHandler) lift(w http.ResponseWriter, r *http.Request) {
	cause := crashes.Cause(r.PathValue("cause"))
	listed, err := h.inForce(r.Context())
	if err != nil {
		h.reject(w, r, http.StatusServiceUnavailable, err.Error())
		return
	}
	if !slices.ContainsFunc(listed, func(q ListedQuarantine) bool { return q.Cause == cause }) {
		h.reject(w, r, http.StatusNotFound, "no quarantine of this cause is in force")
		return
	}
	if err := h.state.ProposeOrder(r.Context(), catalogs.Command{Action: catalogs.LiftQuarantine, Lift: crashes.Lift{Cause: cause, At: h.now()}}); err != nil {
		h.reject(w, r, http.StatusServiceUnavailable, err.Error())
		return
	}
	h.log.WithField("crash-cause", cause).Info("an operator lifted a quarantine")
	w.WriteHeader(http.StatusNoContent)
}

// reject answers a call that failed, and logs the cause.
func (h *quarantineHandler) reject(w http.ResponseWriter, r *http.Request, status int, cause string) {
	h.log.WithFields(logrus.Fields{"method": r.Method, "path": r.URL.Path, "status": status, "cause": cause}).Warn("call about quarantines failed")
	http.Error(w, cause, status)
}
