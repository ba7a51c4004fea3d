package accounts

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"
)

const (
	// maxLineBytes bounds a line. Lines of daemons have a few KB.
	maxLineBytes = 1 << 20
	// readBufferBytes is the size of one read.
	readBufferBytes = 64 << 10
	// maxRequests bounds the requests of all logs. At about 100 bytes each they take
	// 100 MB; a day has 10,000 requests and more.
	maxRequests = 1 << 20
	// maxNames bounds the names of classes and data centres together. Deployments have
	// fewer than a hundred.
	maxNames = 4096
)

// Skipped counts the lines that are not counted as requests.
type Skipped struct {
	Other      int `json:"other"`       // not the end of a request
	Unreadable int `json:"unreadable"`  // not a readable JSON object
	NoTime     int `json:"no-time"`     // neither a time nor a number in the prefix
	Absurd     int `json:"absurd"`      // with a value that cannot be
	Long       int `json:"too-long"`    // longer than a line of a daemon can be
	OtherClock int `json:"other-clock"` // by time although the first request is by its prefix, or the reverse
}

func (s *Skipped) add(o Skipped) {
	s.Other += o.Other
	s.Unreadable += o.Unreadable
	s.NoTime += o.NoTime
	s.Absurd += o.Absurd
	s.Long += o.Long
	s.OtherClock += o.OtherClock
}

// String lists the counts that are not zero.
func (s Skipped) String() string {
	var parts []string
	for _, c := range []struct {
		n    int
		text string
	}{
		{s.Other, "other"}, {s.Unreadable, "unreadable"}, {s.NoTime, "without time"}, {s.Absurd, "with absurd values"},
		{s.Long, "too long"}, {s.OtherClock, "of another clock than the first request"},
	} {
		if c.n > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", c.n, c.text))
		}
	}
	if len(parts) == 0 {
		return "none"
	}
	return strings.Join(parts, ", ")
}

// Log is the requests of any number of log files. The zero value is empty.
type Log struct {
	requests []request
	skipped  Skipped
	names    map[string]string // each name once, so that requests share its memory
}

// Read adds the lines of a log file. It returns how many requests it has added, and how
// many lines it has skipped.
func (l *Log) Read(r io.Reader) (int, Skipped, error) {
	var skipped Skipped
	before := len(l.requests)
	reader := bufio.NewReaderSize(r, readBufferBytes)
	var buf []byte
	for {
		line, long, err := readLine(reader, buf[:0])
		buf = line
		if long {
			skipped.Long++
		} else if len(line) > 0 {
			if full := l.addLine(line, &skipped); full != nil {
				return len(l.requests) - before, skipped, full
			}
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return len(l.requests) - before, skipped, err
		}
	}
	l.skipped.add(skipped)
	return len(l.requests) - before, skipped, nil
}

// addLine adds a line. It fails only if there are too many requests.
func (l *Log) addLine(line []byte, skipped *Skipped) error {
	r, err := parseLine(line)
	if err == nil {
		err = l.share(&r.class, &r.entry, &r.engine)
	}
	switch {
	case errors.Is(err, errOther):
		skipped.Other++
	case errors.Is(err, errUnreadable):
		skipped.Unreadable++
	case errors.Is(err, errNoTime):
		skipped.NoTime++
	case err != nil:
		skipped.Absurd++
	case len(l.requests) > 0 && l.requests[0].fromPrefix != r.fromPrefix:
		skipped.OtherClock++ // its distance from the others is unknown
	case len(l.requests) >= maxRequests:
		return fmt.Errorf("the logs have more than %d requests; read a part of them", maxRequests)
	default:
		l.requests = append(l.requests, r)
	}
	return nil
}

// share replaces names by the strings that earlier requests have.
func (l *Log) share(names ...*string) error {
	for _, name := range names {
		shared, known := l.names[*name]
		if !known {
			if len(l.names) >= maxNames {
				return errAbsurd
			}
			if l.names == nil {
				l.names = make(map[string]string)
			}
			shared = *name
			l.names[shared] = shared
		}
		*name = shared
	}
	return nil
}

// readLine appends the next line to buf, without its end. A line above maxLineBytes is
// read to its end, and long is true.
func readLine(r *bufio.Reader, buf []byte) (line []byte, long bool, err error) {
	for {
		part, err := r.ReadSlice('\n')
		if !long {
			buf = append(buf, part...)
			long = len(buf) > maxLineBytes
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if n := len(buf); n > 0 && buf[n-1] == '\n' {
			buf = buf[:n-1]
		}
		return buf, long, err
	}
}
