package settings

import (
	"os"
	"time"
)

// watchPeriod is the period at which a settings file is looked at: a change
// without a signal is noticed well before anything depends on it.
const watchPeriod = 2 * time.Second

// Watch notices changes of a settings file that come without a signal.
type Watch struct {
	path    string
	ticker  *time.Ticker
	size    int64
	modTime time.Time
}

// NewWatch returns a Watch over a file as it is now.
func NewWatch(path string) *Watch {
	w := &Watch{path: path, ticker: time.NewTicker(watchPeriod)}
	w.Changed()
	return w
}

// Ticks tells when to look for a change.
func (w *Watch) Ticks() <-chan time.Time { return w.ticker.C }

// Changed reports whether the file differs from the last look. A file that
// cannot be read counts as unchanged; the platform may be replacing it.
func (w *Watch) Changed() bool {
	info, err := os.Stat(w.path)
	if err != nil {
		return false
	}
	changed := info.Size() != w.size || !info.ModTime().Equal(w.modTime)
	w.size, w.modTime = info.Size(), info.ModTime()
	return changed
}
