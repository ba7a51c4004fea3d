package accounts

import (
	"bytes"
	"encoding/json"
	"errors"
	"math"
	"strconv"
	"strings"
	"time"
	"unicode"
)

// endMessage is the message of the log lines that are read.
const endMessage = "request ended"

const (
	// maxMs bounds the durations of a request. No deadline is near a day, so that a
	// larger value comes from a damaged line or a clock that was set.
	maxMs = 24 * 60 * 60 * 1000
	// maxPrefixSeconds bounds the number in a prefix. It is about 30 years.
	maxPrefixSeconds = 1e9
	// maxNameBytes bounds the names of classes and data centres.
	maxNameBytes = 128
	// minYear and maxYear bound the times of lines. They exclude the start values of
	// clocks that are not set, and times that int64 nanoseconds cannot hold.
	minYear, maxYear = 2000, 2200
)

// Reasons for which a line is not counted as a request.
var (
	errOther      = errors.New("not the end of a request")
	errUnreadable = errors.New("not a readable JSON object")
	errNoTime     = errors.New("no time")
	errAbsurd     = errors.New("a value is negative or too large, or an outcome or name is not valid")
)

// outcome is what became of a request.
type outcome uint8

const (
	answered outcome = iota
	refused
	failed
	brokenOff
	callerGone
)

var outcomes = map[string]outcome{
	"answered": answered, "refused": refused, "failed": failed, "broken-off": brokenOff, "caller-gone": callerGone,
}

// request is the end of a request as logged. Durations are in milliseconds. It is kept
// small because all requests of the logs are in memory at once.
type request struct {
	arrived       int64 // in nanoseconds since 1970, or of the clock of the prefixes
	class         string
	entry, engine string // data centres, empty if unknown
	outcome       outcome
	fromPrefix    bool // arrived was computed from the prefix of the line
	placed        bool // the line has the fields of a placement
	first         int32
	target        int32 // 0 for none
	gap           int32
	gapTarget     int32 // 0 for none
	predicted     int32 // from the placement to the first event
	seen          int32 // the same time as measured, 0 if there was no event
	waited        int32
}

// endLine has the fields of a line that are used.
type endLine struct {
	Message          string   `json:"msg"`
	Time             string   `json:"time"`
	Route            string   `json:"route"`
	Service          string   `json:"service"`
	Outcome          string   `json:"outcome"`
	DataCentre       string   `json:"data-centre"`
	ServerDataCentre string   `json:"server-data-centre"`
	Took             float64  `json:"took-ms"`
	First            float64  `json:"first-ms"`
	Target           float64  `json:"target-ms"`
	Gap              float64  `json:"gap-ms"`
	GapTarget        float64  `json:"gap-target-ms"`
	Predicted        *float64 `json:"predicted-first-ms"`
	Seen             float64  `json:"seen-first-ms"`
	Waited           float64  `json:"waited-ms"`
}

// parseLine reads a line of a log. Its error is one of the reasons above.
func parseLine(line []byte) (request, error) {
	start := bytes.IndexByte(line, '{')
	if start < 0 {
		return request{}, errOther
	}
	prefix, object := line[:start], line[start:]
	if !bytes.Contains(object, []byte(endMessage)) {
		// Other lines may have the same fields with other types.
		if !json.Valid(object) {
			return request{}, errUnreadable
		}
		return request{}, errOther
	}
	var message struct {
		Message any `json:"msg"`
	}
	if err := json.Unmarshal(object, &message); err != nil {
		return request{}, errUnreadable
	}
	if message.Message != endMessage {
		return request{}, errOther
	}
	var l endLine
	if err := json.Unmarshal(object, &l); err != nil {
		return request{}, errUnreadable
	}
	return l.request(string(prefix))
}

func (l *endLine) request(prefix string) (request, error) {
	var r request
	var err error
	if r.arrived, r.fromPrefix, err = l.arrival(prefix); err != nil {
		return request{}, err
	}
	var known bool
	if r.outcome, known = outcomes[l.Outcome]; !known {
		return request{}, errAbsurd
	}
	if r.class = l.Route; r.class == "" {
		r.class = l.Service
	}
	r.entry, r.engine = l.DataCentre, l.ServerDataCentre
	for _, name := range []string{r.class, r.entry, r.engine} {
		if !validName(name) {
			return request{}, errAbsurd
		}
	}
	predicted := 0.0
	if l.Predicted != nil {
		r.placed, predicted = true, *l.Predicted
	}
	for _, d := range []struct {
		ms *int32
		v  float64
	}{
		{&r.first, l.First}, {&r.target, l.Target}, {&r.gap, l.Gap}, {&r.gapTarget, l.GapTarget},
		{&r.predicted, predicted}, {&r.seen, l.Seen}, {&r.waited, l.Waited},
	} {
		if !validMs(d.v) {
			return request{}, errAbsurd
		}
		*d.ms = int32(d.v)
	}
	return r, nil
}

// arrival returns when the request arrived, and whether that is by the clock of the
// prefix. Lines are written at the end of a request.
func (l *endLine) arrival(prefix string) (int64, bool, error) {
	if !validMs(l.Took) {
		return 0, false, errAbsurd
	}
	took := int64(l.Took * float64(time.Millisecond))
	if fields := strings.Fields(prefix); len(fields) > 0 {
		if s, err := strconv.ParseFloat(fields[0], 64); err == nil {
			if math.IsNaN(s) || math.Abs(s) > maxPrefixSeconds {
				return 0, false, errAbsurd
			}
			return int64(math.Round(s*1e6))*int64(time.Microsecond) - took, true, nil
		}
	}
	if l.Time == "" {
		return 0, false, errNoTime
	}
	t, err := time.Parse(time.RFC3339Nano, l.Time)
	if err != nil {
		return 0, false, errNoTime
	}
	if t.Year() < minYear || t.Year() >= maxYear {
		return 0, false, errAbsurd
	}
	return t.UnixNano() - took, false, nil
}

func validMs(ms float64) bool { return ms >= 0 && ms <= maxMs }

func validName(name string) bool {
	return len(name) <= maxNameBytes && strings.IndexFunc(name, func(c rune) bool { return !unicode.IsPrint(c) }) < 0
}
