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

// maxLogLine bounds one line of a log file.
const maxLogLine = 1 << 20

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

// Story is what log files say about one request: its own lines, and what
// changed about its backend servers and daemon while it lasted.
type Story struct {
	Entries []Entry
	Skipped int // lines that are not log lines of a daemon
}

// around is the time before the first and after the last line of a request in
// which changes may explain it.
const around = 2 * time.Second

// Read collects the story of a request from log files.
func Read(id gypsumshelf.RequestID, files ...io.Reader) (Story, error) {
	var s Story
	var all []Entry
	for _, f := range files {
		scanner := bufio.NewScanner(f)
		scanner.Buffer(make([]byte, 0, 64<<10), maxLogLine)
		for scanner.Scan() {
			e, ok := parse(scanner.Bytes())
			if !ok {
				s.Skipped++
				continue
			}
			all = append(all, e)
		}
		if err := scanner.Err(); err != nil {
			return s, err
		}
	}
	slices.SortStableFunc(all, func(a, b Entry) int { return a.At.Compare(b.At) })
	s.Entries = relevant(all, string(id))
	return s, nil
}

// parse reads a line; a prefix before the JSON object, such as the name of a
// host, is passed over.
func parse(line []byte) (Entry, bool) {
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

// relevant returns the lines of a request and those around them that concern
// its daemons and backend servers.
func relevant(all []Entry, id string) []Entry {
	var first, last time.Time
	about := map[string]bool{}
	for _, e := range all {
		if e.Fields[KeyRequest] != id {
			continue
		}
		if first.IsZero() {
			first = e.At
		}
		last = e.At
		about[e.Daemon] = true
		about[fmt.Sprint(e.Fields[KeyServer])] = true
	}
	var out []Entry
	for _, e := range all {
		_, ofRequest := e.Fields[KeyRequest]
		near := !first.IsZero() && e.At.After(first.Add(-around)) && e.At.Before(last.Add(around))
		concerns := about[e.Daemon] || e.Fields[KeyServer] != nil && about[fmt.Sprint(e.Fields[KeyServer])]
		if e.Fields[KeyRequest] == id || !ofRequest && near && concerns {
			out = append(out, e)
		}
	}
	return out
}
