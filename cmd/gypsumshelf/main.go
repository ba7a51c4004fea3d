// Command gypsumshelf is the serving layer: its daemon, operator commands and
// measuring tools.
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
	exitFailed = 1 // refused or failed
	exitUsage  = 2
)

func main() {
	root := newRoot()
	stack := root.PersistentFlags().Bool("stack", false, "print where an error arose")
	err := root.ExecuteContext(context.Background())
	if err == nil {
		return
	}
	if *stack {
		fmt.Fprintln(os.Stderr, merry.Stacktrace(err))
	}
	os.Exit(exitCode(err))
}

// failure is an error of a command whose arguments were correct.
type failure struct{ error }

func (f failure) Unwrap() error { return f.error }

func exitCode(err error) int {
	if _, ok := err.(failure); ok {
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
	root.AddCommand(newStatus(), newClass(), newDataCentre(), newName(), newExplain())
	return root
}

// run wraps the body of a command, so that its errors exit with exitFailed.
func run(f func(cmd *cobra.Command, args []string) error) func(*cobra.Command, []string) error {
	return func(cmd *cobra.Command, args []string) error {
		if err := f(cmd, args); err != nil {
			return failure{err}
		}
		return nil
	}
}
