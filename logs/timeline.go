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

// maxLineBytes bounds one line of a log file.
const maxLineBytes = 1 << 20

// Entry is one line of a request's story.
type Entry struct {
	At     time.Time
	Daemon string
	Text   string // the message
	Fields map[string]any
}

// String returns the entry on one line, its fields in the order of their names.
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

// Timeline is what log files say about one request: its own lines, and what
// changed about its backend servers and daemon while it lasted.
type Timeline struct {
	Entries []Entry
	Skipped int // lines that are not log lines of a daemon
}

// contextWindow is the time before the first and after the last line of a request in
// which changes may explain it.
const contextWindow = 2 * time.Second

// Read collects the story of a request from log files.
func Read(id gypsumshelf.RequestID, files ...io.Reader) (Timeline, error) {
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

// parseLine reads a line; a prefix before the JSON object, such as the name of a
// host, is passed over.
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

// selectRelevant returns the lines of a request and those around them that concern
// its daemons and backend servers.
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
