// Command gypsumshelf runs the daemons of the serving layer, the operator
// commands and the tools for load tests and measurements.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"
)

// Exit codes of all commands.
const (
	exitFailed = 1 // the command was refused or failed
	exitUsage  = 2 // wrong arguments or flags
)

func main() {
	root := newRoot()
	stack := root.PersistentFlags().Bool("stack", false, "print the stack trace of an error")
	err := root.ExecuteContext(context.Background())
	if err == nil {
		return
	}
	if *stack {
		fmt.Fprintln(os.Stderr, merry.Stacktrace(err))
	}
	os.Exit(exitCode(err))
}

// executionError is an error of a command whose arguments were valid. It selects
// the exit code exitFailed.
type executionError struct{ error }

func (e executionError) Unwrap() error { return e.error }

func exitCode(err error) int {
	if _, ok := err.(executionError); ok {
		return exitFailed
	}
	return exitUsage
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "gypsumshelf",
		Short:         "Serving layer for prompts of very different lengths",
		SilenceUsage:  true,
		SilenceErrors: false,
	}
	root.AddCommand(newServe(), newConfig(), newHost(), newSoak(), newDemo(), newStandIns(), newMeasure(), newLoad())
	root.AddCommand(newStatus(), newClass(), newDataCentre(), newName(), newExplain(), newQuarantines(), newAccount(), newWhere())
	return root
}

// withExitCode wraps the body of a command so that the process exits with
// exitFailed when it returns an error.
func withExitCode(f func(cmd *cobra.Command, args []string) error) func(*cobra.Command, []string) error {
	return func(cmd *cobra.Command, args []string) error {
		if err := f(cmd, args); err != nil {
			return executionError{err}
		}
		return nil
	}
}
