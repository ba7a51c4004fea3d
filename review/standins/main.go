// Command standins plays the cases of the review that are scripts. It starts the
// project's daemons as separate processes on loopback addresses, stands in for the
// platform, the operator, the requesters and the runners, and checks one rule.
//
// It exits with 0 if the rule held, with 1 if it was broken, and with 2 if the case could
// not run.
package main

import (
	"fmt"
	"os"
	"time"
)

// caseTimeLimit ends a case that hangs.
const caseTimeLimit = 115 * time.Second

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// errBroken is the result of a case in which the rule was broken.
type errBroken struct{ reason string }

// Error implements error.
func (e errBroken) Error() string { return e.reason }

func brokenf(format string, args ...any) error {
	return errBroken{reason: fmt.Sprintf(format, args...)}
}

// cases holds the cases by name. trouble is false for the run without the disruption.
var cases = map[string]func(c *deployment, trouble bool) error{}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE PROGRAM RECORD")
		return exitFailed
	}
	rec, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer rec.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.printf("case %s, disruption: %v", os.Args[1], trouble)
	d, err := newDeployment(os.Args[2], rec)
	if err != nil {
		rec.printf("the case could not run: %v", err)
		return exitFailed
	}
	result := make(chan error, 1)
	go func() { result <- cases[os.Args[1]](d, trouble) }()
	select {
	case err = <-result:
	case <-time.After(caseTimeLimit):
		err = fmt.Errorf("the case took longer than %v", caseTimeLimit)
	}
	d.close()
	if broken, ok := err.(errBroken); ok {
		rec.printf("RULE BROKEN: %s", broken.reason)
		return exitBroken
	}
	if err != nil {
		rec.printf("the case could not run: %v", err)
		return exitFailed
	}
	rec.printf("the rule held")
	return exitHeld
}
