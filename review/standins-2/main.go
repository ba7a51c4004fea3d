// Command standins-2 runs the stand-ins of the second review: a platform that starts the
// project's daemons as processes, operators, requesters and runners. Each case is a
// subcommand that writes a record, judges a rule and ends with an exit code.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases holds the cases by name.
var cases = map[string]func(*record) (int, error){
	"config-memory":  runConfigMemory,
	"config-streams": runConfigStreams,
	"dark":           runDark,
	"quarantine":     runQuarantine,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins-2 CASE RECORD")
		os.Exit(exitNotRun)
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	code, err := cases[os.Args[1]](r)
	if err != nil {
		r.printf("the case could not run: %v", err)
		code = exitNotRun
	}
	r.printf("exit code %d", code)
	r.close()
	os.Exit(code)
}

// troubled reports whether the disruption of the case is played.
func troubled() bool { return os.Getenv("TROUBLE") != "0" }
