package gypsumshelf

import "fmt"

// Verdict states whether a request has run, or may have run, on a backend server.
type Verdict uint8

// Verdicts, in ascending order of possible side effects.
const (
	NotRun     Verdict = iota // nothing was delivered that could have started the work
	MayHaveRun                // the work may have started; its outcome is unknown
	Ran                       // the work ran to its end
)

var verdictNames = [...]string{NotRun: "not-run", MayHaveRun: "may-have-run", Ran: "ran"}

// String returns the kebab-case name used in headers and JSON bodies.
func (v Verdict) String() string {
	if int(v) < len(verdictNames) {
		return verdictNames[v]
	}
	return fmt.Sprintf("verdict(%d)", uint8(v))
}

// MarshalText implements encoding.TextMarshaler.
func (v Verdict) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. An unknown name is an error.
func (v *Verdict) UnmarshalText(b []byte) error {
	for i, name := range verdictNames {
		if name == string(b) {
			*v = Verdict(i)
			return nil
		}
	}
	return fmt.Errorf("unknown verdict %q, want one of %q", b, verdictNames)
}

// Worse returns the worse of v and w: the one with more possible side effects.
func (v Verdict) Worse(w Verdict) Verdict { return max(v, w) }
