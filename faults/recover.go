// Package faults contains unexpected errors: a panic ends the call or the event in
// which it happened, and not the process.
package faults

import (
	"fmt"
	"runtime/debug"
	"sync/atomic"

	"github.com/sirupsen/logrus"
)

// recovered counts the panics of this process.
var recovered atomic.Uint64

// Count returns the number of panics that Recover has contained in this process.
func Count() uint64 { return recovered.Load() }

// Recover contains a panic and stores it in err, unless that is nil. It must be
// deferred directly; where names the call or event for the log.
func Recover(log *logrus.Entry, where string, err *error) {
	v := recover()
	if v == nil {
		return
	}
	Report(log, where, v)
	if err != nil {
		*err = fmt.Errorf("unexpected error in %s", where)
	}
}

// Report logs and counts a panic that its caller has recovered. Without a log it uses
// the standard logger.
func Report(log *logrus.Entry, where string, v any) {
	recovered.Add(1)
	if log == nil {
		log = logrus.NewEntry(logrus.StandardLogger())
	}
	log.WithFields(logrus.Fields{"in": where, "panic": fmt.Sprint(v), "stack": string(debug.Stack())}).Error("an unexpected error was contained")
}
