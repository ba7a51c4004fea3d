package logs

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"gypsumshelf.example/gypsumshelf"
)

// maxLineBytes bounds the length of a line in a log file.
const maxLineBytes = 1 << 20

// Entry is one log line of a Timeline.
type Entry struct {
	At     time.Time
	Daemon string
	Text   string // log message
	Fields map[string]any
}

// String returns the entry as one line with its fields sorted by name.
func (e Entry) String() string {
	names := make([]string, 0, len(e.Fields))
	for name := range e.Fields {
		names = append(names, name)
	}
	slices.Sort(names)
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s: %s", e.At.Format(time.RFC3339Nano), e.Daemon, e.Text)
	for _, name := range names {
		fmt.Fprintf(&b, " %s=%v", name, e.Fields[name])
	}
	return b.String()
}

// Timeline holds the log lines about one request, sorted by time: its own lines,
// and those of the same period about its backend servers and daemons.
type Timeline struct {
	Entries []Entry
	Skipped int // number of lines that are not log lines of a daemon
}

// contextWindow is the time before the first and after the last line of a request
// within which other lines are included, since they may explain its outcome.
const contextWindow = 2 * time.Second

// ReadTimeline returns the timeline of a request from log files.
func ReadTimeline(id gypsumshelf.RequestID, files ...io.Reader) (Timeline, error) {
	var timeline Timeline
	var entries []Entry
	for _, f := range files {
		scanner := bufio.NewScanner(f)
		scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
		for scanner.Scan() {
			e, ok := parseLine(scanner.Bytes())
			if !ok {
				timeline.Skipped++
				continue
			}
			entries = append(entries, e)
		}
		if err := scanner.Err(); err != nil {
			return timeline, err
		}
	}
	slices.SortStableFunc(entries, func(a, b Entry) int { return a.At.Compare(b.At) })
	timeline.Entries = selectRelevant(entries, string(id))
	return timeline, nil
}

// parseLine parses a log line. It skips a prefix before the JSON object, such as
// the name of a host.
func parseLine(line []byte) (Entry, bool) {
	i := bytes.IndexByte(line, '{')
	if i < 0 {
		return Entry{}, false
	}
	var fields map[string]any
	if json.Unmarshal(line[i:], &fields) != nil {
		return Entry{}, false
	}
	at, err := time.Parse(time.RFC3339Nano, fmt.Sprint(fields["time"]))
	if err != nil {
		return Entry{}, false
	}
	e := Entry{At: at, Daemon: fmt.Sprint(fields[KeyDaemon]), Text: fmt.Sprint(fields["msg"]), Fields: fields}
	for _, name := range []string{"time", "msg", KeyDaemon, "level"} {
		delete(fields, name)
	}
	return e, true
}

// selectRelevant returns the lines of a request, and those within contextWindow of
// them that name one of its daemons or backend servers but no request.
func selectRelevant(entries []Entry, id string) []Entry {
	var first, last time.Time
	related := map[string]bool{}
	for _, e := range entries {
		if e.Fields[KeyRequest] != id {
			continue
		}
		if first.IsZero() {
			first = e.At
		}
		last = e.At
		related[e.Daemon] = true
		related[fmt.Sprint(e.Fields[KeyServer])] = true
	}
	var out []Entry
	for _, e := range entries {
		_, hasRequest := e.Fields[KeyRequest]
		inWindow := !first.IsZero() && e.At.After(first.Add(-contextWindow)) && e.At.Before(last.Add(contextWindow))
		isRelated := related[e.Daemon] || e.Fields[KeyServer] != nil && related[fmt.Sprint(e.Fields[KeyServer])]
		if e.Fields[KeyRequest] == id || !hasRequest && inWindow && isRelated {
			out = append(out, e)
		}
	}
	return out
}
