// Package accounts reads the ends of requests from the logs of daemons, and adds up by
// class, data centre and time which of them callers got in time.
package accounts

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"time"
)

// unknownName stands for a class or data centre that a line does not name.
const unknownName = "-"

// Counts is what became of some requests. Each request is in exactly one of the counts
// from OnTime to CallerGone, and in Offered.
type Counts struct {
	Offered   int `json:"offered"`
	OnTime    int `json:"on-time"`
	LateFirst int `json:"late-first"` // the first event was later than its target
	LatePause int `json:"late-pause"` // only a pause was longer than its target
	Answered  int `json:"answered"`   // without any target, as those of plain services
	Refused   int `json:"refused"`
	Failed    int `json:"failed"`
	BrokenOff int `json:"broken-off"`
	// CallerGone are requests whose callers did not wait for the answer.
	CallerGone int `json:"caller-gone"`

	// LatePredictedOnTime are those of LateFirst whose wait and predicted first event
	// were within the target.
	LatePredictedOnTime int `json:"late-predicted-on-time"`

	// The predicted and the observed time from the last placement to the first event are
	// means over the requests with both.
	PredictedFirstMs float64 `json:"predicted-first-ms"`
	SeenFirstMs      float64 `json:"seen-first-ms"`
	// The time in the queue is that before the last placement, of all placed requests.
	WaitedMs    float64 `json:"waited-ms"`
	MaxWaitedMs int     `json:"max-waited-ms"`

	predictedSum, seenSum, waitedSum int64
	seen, placed                     int
}

// Late returns the number of requests that were answered too late.
func (c *Counts) Late() int { return c.LateFirst + c.LatePause }

func (c *Counts) add(r *request) {
	c.Offered++
	switch {
	case r.outcome == refused:
		c.Refused++
	case r.outcome == failed:
		c.Failed++
	case r.outcome == brokenOff:
		c.BrokenOff++
	case r.outcome == callerGone:
		c.CallerGone++
	case r.target > 0 && r.first > r.target:
		c.LateFirst++
		if r.placed && r.waited+r.predicted <= r.target {
			c.LatePredictedOnTime++
		}
	case r.gapTarget > 0 && r.gap > r.gapTarget:
		c.LatePause++
	case r.target > 0 || r.gapTarget > 0:
		c.OnTime++
	default:
		c.Answered++
	}
	if !r.placed {
		return
	}
	c.placed++
	c.waitedSum += int64(r.waited)
	c.MaxWaitedMs = max(c.MaxWaitedMs, int(r.waited))
	if r.seen > 0 {
		c.seen++
		c.predictedSum += int64(r.predicted)
		c.seenSum += int64(r.seen)
	}
}

// finish computes the means.
func (c *Counts) finish() {
	if c.placed > 0 {
		c.WaitedMs = float64(c.waitedSum) / float64(c.placed)
	}
	if c.seen > 0 {
		c.PredictedFirstMs, c.SeenFirstMs = float64(c.predictedSum)/float64(c.seen), float64(c.seenSum)/float64(c.seen)
	}
}

// Key says which requests a row counts. Fields by which the rows of a list are not
// divided are empty.
type Key struct {
	Window           int    `json:"-"` // counted from 0, which begins with the first request
	Class            string `json:"class,omitempty"`
	DataCentre       string `json:"data-centre,omitempty"`        // of the entry daemon
	ServerDataCentre string `json:"server-data-centre,omitempty"` // of the engine
}

func (k Key) compare(o Key) int {
	return cmp.Or(cmp.Compare(k.Window, o.Window), cmp.Compare(k.Class, o.Class),
		cmp.Compare(k.DataCentre, o.DataCentre), cmp.Compare(k.ServerDataCentre, o.ServerDataCentre))
}

// Row is the counts of the requests with a key. There are no rows without requests.
type Row struct {
	Key
	// StartSeconds is the start of the window, from the first request. It is nil if the
	// rows are not divided by window.
	StartSeconds *float64 `json:"start-s,omitempty"`
	Counts
}

// Account adds up requests.
type Account struct {
	First       string        `json:"first-request"` // its time, or the seconds of its prefix
	Window      time.Duration `json:"-"`
	WindowSecs  float64       `json:"window-s"`
	Requests    int           `json:"requests"`
	Skipped     Skipped       `json:"skipped-lines"`
	Totals      []Row         `json:"totals"`       // by class, over all windows
	Windows     []Row         `json:"windows"`      // by window and class
	DataCentres []Row         `json:"data-centres"` // by both data centres, over all windows
	Cells       []Row         `json:"cells"`        // by window, class and both data centres
}

// CheckWindow returns an error unless requests can be divided into windows of that length.
func CheckWindow(window time.Duration) error {
	if window <= 0 {
		return fmt.Errorf("the window is %v, want more than zero", window)
	}
	return nil
}

// Account adds up the requests of a log. The first window begins when the first request
// arrived.
func (l *Log) Account(window time.Duration) (*Account, error) {
	if err := CheckWindow(window); err != nil {
		return nil, err
	}
	if len(l.requests) == 0 {
		return nil, errors.New("the logs have no request lines")
	}
	slices.SortStableFunc(l.requests, func(a, b request) int { return cmp.Compare(a.arrived, b.arrived) })
	first := l.requests[0]
	totals, windows, centres, cells := make(rows), make(rows), make(rows), make(rows)
	for i := range l.requests {
		r := &l.requests[i]
		n := int((r.arrived - first.arrived) / int64(window))
		class, entry, engine := known(r.class), known(r.entry), known(r.engine)
		totals.add(Key{Class: class}, r)
		windows.add(Key{Window: n, Class: class}, r)
		centres.add(Key{DataCentre: entry, ServerDataCentre: engine}, r)
		cells.add(Key{Window: n, Class: class, DataCentre: entry, ServerDataCentre: engine}, r)
	}
	return &Account{
		First: first.arrivedText(), Window: window, WindowSecs: window.Seconds(), Requests: len(l.requests), Skipped: l.skipped,
		Totals: totals.sorted(), Windows: windows.sortedWithStarts(window), DataCentres: centres.sorted(), Cells: cells.sortedWithStarts(window),
	}, nil
}

func (r *request) arrivedText() string {
	if r.fromPrefix {
		return strconv.FormatFloat(float64(r.arrived)/float64(time.Second), 'f', 3, 64)
	}
	return time.Unix(0, r.arrived).UTC().Format("2006-01-02T15:04:05.000Z07:00")
}

func known(name string) string {
	if name == "" {
		return unknownName
	}
	return name
}

// rows are counts while they are added up.
type rows map[Key]*Counts

func (m rows) add(k Key, r *request) {
	c := m[k]
	if c == nil {
		c = new(Counts)
		m[k] = c
	}
	c.add(r)
}

// sorted returns the rows in the order of their keys.
func (m rows) sorted() []Row {
	list := make([]Row, 0, len(m))
	for k, c := range m {
		c.finish()
		list = append(list, Row{Key: k, Counts: *c})
	}
	slices.SortFunc(list, func(a, b Row) int { return a.compare(b.Key) })
	return list
}

// sortedWithStarts returns the rows in order, with the starts of their windows.
func (m rows) sortedWithStarts(window time.Duration) []Row {
	list := m.sorted()
	for i := range list {
		start := (time.Duration(list[i].Window) * window).Seconds()
		list[i].StartSeconds = &start
	}
	return list
}
