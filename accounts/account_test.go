package accounts

import (
	"bytes"
	"encoding/json"
	"encoding/xml"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

var update = flag.Bool("update", false, "write the golden files")

func assertEqual[T comparable](t *testing.T, what string, got, want T) {
	t.Helper()
	if got != want {
		t.Errorf("%s is %v, want %v", what, got, want)
	}
}

func assertError(t *testing.T, err error, want string) {
	t.Helper()
	if err == nil || !strings.Contains(err.Error(), want) {
		t.Errorf("error is %v, want %q", err, want)
	}
}

// assertCounts compares the counts, not the means.
func assertCounts(t *testing.T, got, want Counts) {
	t.Helper()
	type numbers struct{ offered, onTime, lateFirst, latePause, answered, refused, failed, brokenOff, callerGone, predicted int }
	of := func(c Counts) numbers {
		return numbers{c.Offered, c.OnTime, c.LateFirst, c.LatePause, c.Answered, c.Refused, c.Failed, c.BrokenOff, c.CallerGone, c.LatePredictedOnTime}
	}
	assertEqual(t, "counts", of(got), of(want))
}

func assertGolden(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		if err := os.WriteFile(path, got, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("output differs from %s:\n%s", path, got)
	}
}

func readText(t *testing.T, texts ...string) *Log {
	t.Helper()
	var l Log
	for _, text := range texts {
		if _, _, err := l.Read(strings.NewReader(text)); err != nil {
			t.Fatal(err)
		}
	}
	return &l
}

func readFile(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func accountOf(t *testing.T, texts ...string) *Account {
	t.Helper()
	a, err := readText(t, texts...).Account(2 * time.Second)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func written(t *testing.T, a *Account, f Format) []byte {
	t.Helper()
	var out bytes.Buffer
	if err := a.Write(&out, f); err != nil {
		t.Fatal(err)
	}
	return out.Bytes()
}

func row(t *testing.T, rows []Row, k Key) Counts {
	t.Helper()
	for _, r := range rows {
		if r.Key == k {
			return r.Counts
		}
	}
	t.Fatalf("no row with %+v", k)
	return Counts{}
}

// Guards against requests that are counted in the wrong class, window or column.
func TestAccountOfADay(t *testing.T) {
	a := accountOf(t, readFile(t, "day.log"))
	assertEqual(t, "first request", a.First, "2026-03-01T08:00:01.000Z")
	assertEqual(t, "skipped", a.Skipped, Skipped{Other: 1})
	for _, c := range []struct {
		name string
		rows []Row
		key  Key
		want Counts
	}{
		{"first window of the short prompts", a.Windows, Key{Window: 0, Class: "short"}, Counts{Offered: 3, OnTime: 1, LateFirst: 2, LatePredictedOnTime: 1}},
		{"second window of the short prompts", a.Windows, Key{Window: 1, Class: "short"}, Counts{Offered: 2, Refused: 1, BrokenOff: 1}},
		{"total of the short prompts", a.Totals, Key{Class: "short"}, Counts{Offered: 5, OnTime: 1, LateFirst: 2, Refused: 1, BrokenOff: 1, LatePredictedOnTime: 1}},
		{"pause", a.Windows, Key{Window: 1, Class: "long"}, Counts{Offered: 1, LatePause: 1}},
		{"plain service", a.Totals, Key{Class: "index"}, Counts{Offered: 2, Answered: 1, Failed: 1}},
		{"between data centres", a.DataCentres, Key{DataCentre: "bagmati-a", ServerDataCentre: "bagmati-c"}, Counts{Offered: 3, LateFirst: 2, BrokenOff: 1, LatePredictedOnTime: 1}},
		{"without data centres", a.DataCentres, Key{DataCentre: "-", ServerDataCentre: "-"}, Counts{Offered: 3, Answered: 1, Refused: 1, Failed: 1}},
		{"cell", a.Cells, Key{Window: 0, Class: "short", DataCentre: "bagmati-a", ServerDataCentre: "bagmati-c"}, Counts{Offered: 2, LateFirst: 2, LatePredictedOnTime: 1}},
	} {
		t.Run(c.name, func(t *testing.T) { assertCounts(t, row(t, c.rows, c.key), c.want) })
	}
	t.Run("means", func(t *testing.T) {
		c := row(t, a.Windows, Key{Window: 0, Class: "short"})
		assertEqual(t, "predicted first event", c.PredictedFirstMs, (150+240+241)/3.0)
		assertEqual(t, "observed first event", c.SeenFirstMs, (190+241+250)/3.0)
		assertEqual(t, "wait", c.WaitedMs, (10+10+150)/3.0)
		assertEqual(t, "longest wait", c.MaxWaitedMs, 150)
	})
	t.Run("table", func(t *testing.T) { assertGolden(t, "day.table", written(t, a, Table)) })
	t.Run("JSON", func(t *testing.T) { assertGolden(t, "day.json", written(t, a, JSON)) })
}

// Guards against times that ignore the clock of a test bench.
func TestPrefixIsTheClock(t *testing.T) {
	a := accountOf(t, readFile(t, "bench.log"))
	assertEqual(t, "first request", a.First, "16.085")
	assertEqual(t, "skipped", a.Skipped, Skipped{Other: 1})
	assertCounts(t, row(t, a.Windows, Key{Window: 0, Class: "short"}), Counts{Offered: 1, OnTime: 1})
	assertCounts(t, row(t, a.Windows, Key{Window: 1, Class: "short"}), Counts{Offered: 1, CallerGone: 1})
}

// Guards against rows that depend on which file is read first.
func TestFilesAreMerged(t *testing.T) {
	lines := strings.SplitAfter(readFile(t, "day.log"), "\n")
	early, late := strings.Join(lines[:4], ""), strings.Join(lines[4:], "")
	want := string(written(t, accountOf(t, early+late), JSON))
	for name, texts := range map[string][]string{"in order": {early, late}, "in reverse": {late, early}} {
		t.Run(name, func(t *testing.T) { assertEqual(t, "account", string(written(t, accountOf(t, texts...), JSON)), want) })
	}
	t.Run("of two clocks", func(t *testing.T) {
		a := accountOf(t, early, readFile(t, "bench.log"))
		assertEqual(t, "skipped", a.Skipped, Skipped{Other: 2, OtherClock: 2})
		assertEqual(t, "requests", a.Requests, 3)
	})
}

// Guards against damaged logs that end the command, or that are counted as requests.
func TestDamagedLines(t *testing.T) {
	const good = `{"msg":"request ended","outcome":"answered","route":"short","time":"2026-03-01T08:00:01Z","took-ms":5}`
	with := func(old, replacement string) string { return strings.Replace(good, old, replacement, 1) }
	for _, c := range []struct {
		name, line string
		want       Skipped
	}{
		{"cut off", good[:60], Skipped{Unreadable: 1}},
		{"cut off before its message", `{"attempts":1,`, Skipped{Unreadable: 1}},
		{"two on one line", good + good, Skipped{Unreadable: 1}},
		{"text as a number", with(`:5`, `:"5"`), Skipped{Unreadable: 1}},
		{"null bytes", "\x00\x00\x00", Skipped{Other: 1}},
		{"other message", with("request ended", "request placed"), Skipped{Other: 1}},
		{"message in another field", `{"msg":"x","cause":"request ended"}`, Skipped{Other: 1}},
		{"message that is a number", `{"msg":1,"cause":"request ended"}`, Skipped{Other: 1}},
		{"no time", with(`"time":"2026-03-01T08:00:01Z",`, ""), Skipped{NoTime: 1}},
		{"time that is no time", with("2026-03-01", "yesterday"), Skipped{NoTime: 1}},
		{"clock that is not set", with("2026-", "1970-"), Skipped{Absurd: 1}},
		{"prefix that is no time", "NaN host " + good, Skipped{Absurd: 1}},
		{"negative duration", with(`:5`, `:-5`), Skipped{Absurd: 1}},
		{"duration of years", with(`:5`, `:1e15`), Skipped{Absurd: 1}},
		{"negative first event", with(`:5`, `:5,"first-ms":-1`), Skipped{Absurd: 1}},
		{"huge wait", with(`:5`, `:5,"waited-ms":1e300`), Skipped{Absurd: 1}},
		{"unknown outcome", with("answered", "lost"), Skipped{Absurd: 1}},
		{"name with a line end", with("short", `a\nb`), Skipped{Absurd: 1}},
		{"long name", with("short", strings.Repeat("x", maxNameBytes+1)), Skipped{Absurd: 1}},
		{"line of several MB", with("short", strings.Repeat("x", 3<<20)), Skipped{Long: 1}},
		{"empty", "", Skipped{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := readText(t, good+"\n"+c.line+"\n"+good)
			assertEqual(t, "skipped", l.skipped, c.want)
			assertEqual(t, "requests", len(l.requests), 2)
		})
	}
}

// Guards against classes that take memory without bound.
func TestNamesAreBounded(t *testing.T) {
	var text strings.Builder
	for i := range maxNames + 10 {
		fmt.Fprintf(&text, `{"msg":"request ended","outcome":"answered","route":"r%d","time":"2026-03-01T08:00:01Z"}`+"\n", i)
	}
	l := readText(t, text.String())
	assertEqual(t, "names", len(l.names), maxNames)
	// One of the names is that of the data centres, which is empty.
	assertEqual(t, "skipped", l.skipped, Skipped{Absurd: 11})
}

// Guards against empty reports, and endless ones.
func TestRefusedAccounts(t *testing.T) {
	t.Run("no requests", func(t *testing.T) {
		_, err := readText(t, "nothing\n").Account(time.Second)
		assertError(t, err, "no request lines")
	})
	for _, window := range []time.Duration{0, -time.Second} {
		t.Run(window.String(), func(t *testing.T) {
			_, err := readText(t, readFile(t, "day.log")).Account(window)
			assertError(t, err, "want more than zero")
		})
	}
	t.Run("unknown format", func(t *testing.T) {
		_, err := ParseFormat("xml")
		assertError(t, err, `"xml"`)
	})
	t.Run("failing reader", func(t *testing.T) {
		var l Log
		_, _, err := l.Read(io.MultiReader(strings.NewReader(readFile(t, "day.log")), failingReader{}))
		assertError(t, err, "disk")
	})
	t.Run("chart of too many windows", func(t *testing.T) {
		a, err := readText(t, readFile(t, "day.log")).Account(time.Microsecond)
		if err != nil {
			t.Fatal(err)
		}
		assertError(t, a.Write(io.Discard, SVG), "longer window")
	})
	for _, f := range []Format{Table, JSON, SVG} {
		t.Run("failing writer of "+string(f), func(t *testing.T) {
			assertError(t, accountOf(t, readFile(t, "day.log")).Write(failingWriter{}, f), "disk")
		})
	}
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, errors.New("disk") }

type failingWriter struct{}

func (failingWriter) Write([]byte) (int, error) { return 0, errors.New("disk") }

// Guards against charts that no viewer opens, and that lack a class or a line.
func TestChart(t *testing.T) {
	named := strings.ReplaceAll(readFile(t, "day.log"), `"route":"short"`, `"route":"a<b>&c"`)
	for name, text := range map[string]string{"several classes": readFile(t, "day.log"), "one window": readFile(t, "day.log")[:700], "characters of XML": named} {
		t.Run(name, func(t *testing.T) {
			a := accountOf(t, text)
			texts := textsOfXML(t, written(t, a, SVG))
			for _, s := range allSeries {
				assertEqual(t, "legends with "+s.name, strings.Count(texts, s.name+"\n"), len(a.Totals))
			}
			for _, r := range a.Totals {
				assertEqual(t, "titles of "+r.Class, strings.Count(texts, r.Class+"\n"), 1)
			}
		})
	}
}

// textsOfXML returns the texts of a document, one a line.
func textsOfXML(t *testing.T, document []byte) string {
	t.Helper()
	var texts strings.Builder
	dec := xml.NewDecoder(bytes.NewReader(document))
	for {
		token, err := dec.Token()
		if errors.Is(err, io.EOF) {
			return texts.String()
		}
		if err != nil {
			t.Fatal(err)
		}
		if text, ok := token.(xml.CharData); ok {
			texts.WriteString(strings.TrimSpace(string(text)) + "\n")
		}
	}
}

// Guards against lines that end the command, and against values that the sums cannot hold.
func FuzzParseLine(f *testing.F) {
	for _, line := range []string{
		`{"msg":"request ended","outcome":"answered","route":"short","time":"2026-03-01T08:00:01Z","took-ms":5,"target-ms":250,"first-ms":251,"predicted-first-ms":1}`,
		`  16.6847 front-a-5 {"msg":"request ended","outcome":"refused","took-ms":5}`,
		`-1e300 x {"msg":"request ended","outcome":"failed","took-ms":-0}`,
		`{"msg":"request ended","outcome":"failed","time":"9999-12-31T23:59:60Z"}`,
		`}{`,
	} {
		f.Add([]byte(line))
	}
	f.Fuzz(func(t *testing.T, line []byte) {
		r, err := parseLine(line)
		if err != nil {
			for _, reason := range []error{errOther, errUnreadable, errNoTime, errAbsurd} {
				if errors.Is(err, reason) {
					return
				}
			}
			t.Fatalf("error without a reason: %v", err)
		}
		for _, ms := range []int32{r.first, r.target, r.gap, r.gapTarget, r.predicted, r.seen, r.waited} {
			if ms < 0 || ms > maxMs {
				t.Errorf("a duration is %d ms", ms)
			}
		}
		var c Counts
		c.add(&r)
		assertEqual(t, "sum of the counts", c.OnTime+c.LateFirst+c.LatePause+c.Answered+c.Refused+c.Failed+c.BrokenOff+c.CallerGone, c.Offered)
		if _, err := json.Marshal(c); err != nil {
			t.Error(err)
		}
	})
}
