package gypsumshelf

import "fmt"

// Verdict says whether a request may have run on a backend server.
type Verdict uint8

// Verdicts, from the weakest to the strongest claim about side effects.
const (
	NotRun     Verdict = iota // no byte that could start the work was delivered
	MayHaveRun                // the work may have started, the outcome is unknown
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

// UnmarshalText implements encoding.TextUnmarshaler; an unknown name is an error.
func (v *Verdict) UnmarshalText(b []byte) error {
	for i, name := range verdictNames {
		if name == string(b) {
			*v = Verdict(i)
			return nil
		}
	}
	return fmt.Errorf("unknown verdict %q", b)
}

// Worse returns the verdict that covers both v and w: the one that admits more.
func (v Verdict) Worse(w Verdict) Verdict { return max(v, w) }
