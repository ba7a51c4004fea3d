package settings

import (
	"os"
	"time"
)

// watchPeriod is the polling period of a settings file. It is short enough to
// detect a change without a signal well before anything depends on it.
const watchPeriod = 2 * time.Second

// Watcher polls a settings file for changes, so that they take effect without a
// signal.
type Watcher struct {
	path    string
	ticker  *time.Ticker
	size    int64
	modTime time.Time
	retry   bool
}

// NewWatcher returns a Watcher that compares the file with its present state.
func NewWatcher(path string) *Watcher {
	w := &Watcher{path: path, ticker: time.NewTicker(watchPeriod)}
	w.Changed()
	return w
}

// Ticks returns a channel that receives when Changed is due to be called.
func (w *Watcher) Ticks() <-chan time.Time { return w.ticker.C }

// Changed reports whether the file's size or modification time has changed since
// the last call. A file that cannot be read counts as unchanged, since the
// platform may be replacing it.
func (w *Watcher) Changed() bool {
	info, err := os.Stat(w.path)
	if err != nil {
		return false
	}
	changed := w.retry || info.Size() != w.size || !info.ModTime().Equal(w.modTime)
	w.size, w.modTime, w.retry = info.Size(), info.ModTime(), false
	return changed
}

// Retry makes the next call of Changed report a change, because the present one could not
// be loaded.
func (w *Watcher) Retry() { w.retry = true }
