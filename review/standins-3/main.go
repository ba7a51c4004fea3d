// Command standins-3 runs the cases of the third review that are scripts: it starts the
// project's own programs on loopback addresses, together with small stand-ins for the
// platform, the operator, callers and backend servers.
package main

import (
	"fmt"
	"os"
)

// Exit statuses of a case.
const (
	held    = 0
	broken  = 1
	cannot  = 2
	useText = "usage: standins-3 CASE RECORD"
)

// cases are the cases by name. Each returns its exit status, or an error if it could not
// run.
var cases = map[string]func(rec *record, trouble bool) (int, error){
	"copies":     runCopies,
	"firstack":   runFirstAck,
	"firststart": runFirstStart,
	"left":       runLeft,
	"tenants":    runTenants,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, useText)
		os.Exit(cannot)
	}
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

// runCase runs a case and prints its result.
func runCase(name, recordPath string) int {
	rec, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannot
	}
	defer rec.close()
	status, err := cases[name](rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.printf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return cannot
	}
	rec.printf("exit status %d", status)
	return status
}
