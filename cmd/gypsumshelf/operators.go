package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/configs"
	"gypsumshelf.example/gypsumshelf/logs"
	"gypsumshelf.example/gypsumshelf/operators"
	"gypsumshelf.example/gypsumshelf/settings"
)

func newStatus() *cobra.Command {
	f := &operatorFlags{}
	cmd := &cobra.Command{Use: "status", Short: "Show a daemon's configuration and backend servers", Args: cobra.NoArgs}
	cmd.RunE = withExitCode(func(cmd *cobra.Command, _ []string) error {
		status, err := f.client().Status(cmd.Context())
		if err != nil {
			return err
		}
		return f.print(cmd.OutOrStdout(), status, func(w io.Writer) { printStatus(w, status) })
	})
	addQueryFlags(cmd, f)
	return cmd
}

func printStatus(w io.Writer, s operators.Status) {
	fmt.Fprintf(w, "daemon %s  ready %t  leader %s  revision %d\n", s.Daemon, s.Ready, s.Leader, s.Revision)
	for _, c := range s.Classes {
		fmt.Fprintf(w, "class %s  first-token %s  finish %s\n", c.Name, c.FirstToken.Std(), c.Finish.Std())
	}
	for _, name := range s.TakenOut {
		fmt.Fprintf(w, "data-centre %s  taken out\n", name)
	}
	for _, b := range s.BackendServers {
		fmt.Fprintf(w, "backend-server %s  %s  %s  %s  attempts %d\n", b.Server, b.DataCentre, b.Service, b.State, b.Attempts)
	}
}

func newClass() *cobra.Command {
	f := &operatorFlags{}
	var firstToken, finish time.Duration
	set := &cobra.Command{Use: "set NAME --first-token 1s --finish 60s", Short: "Set the targets of a class", Args: cobra.ExactArgs(1)}
	set.RunE = withExitCode(func(cmd *cobra.Command, args []string) error {
		return f.sendChange(cmd, configs.Change{
			Action: configs.ActionClassSet, Name: args[0],
			FirstToken: settings.Duration(firstToken), Finish: settings.Duration(finish),
		})
	})
	addCommandFlags(set, f)
	set.Flags().DurationVar(&firstToken, "first-token", 0, "time from arrival to the first token")
	set.Flags().DurationVar(&finish, "finish", 0, "time from arrival to the end of the answer")
	_ = set.MarkFlagRequired("first-token")
	_ = set.MarkFlagRequired("finish")
	return newCommandGroup("class", "Set and remove classes", set,
		newChangeCommand("remove NAME", "Remove a class", func(args []string) configs.Change {
			return configs.Change{Action: configs.ActionClassRemove, Name: args[0]}
		}))
}

func newDataCentre() *cobra.Command {
	return newCommandGroup("data-centre", "Take data centres out of service and bring them back",
		newChangeCommand("take-out NAME", "Send no new work to a data centre", func(args []string) configs.Change {
			return configs.Change{Action: configs.ActionTakeOut, Name: args[0]}
		}),
		newChangeCommand("bring-back NAME", "Send new work to a data centre again", func(args []string) configs.Change {
			return configs.Change{Action: configs.ActionBringBack, Name: args[0]}
		}))
}

func newName() *cobra.Command {
	return newCommandGroup("name", "Add names of other naming schemes",
		newChangeCommand("add KIND CANONICAL SCHEME ALIAS", "Add an alias; KIND is data-centre, service or model", func(args []string) configs.Change {
			return configs.Change{
				Action: configs.ActionNameAdd, Kind: gypsumshelf.NameKind(args[0]),
				Canonical: args[1], Scheme: args[2], Alias: args[3],
			}
		}))
}

// newChangeCommand returns a command that sends the change built from its
// arguments. It takes as many arguments as use names.
func newChangeCommand(use, short string, change func(args []string) configs.Change) *cobra.Command {
	f := &operatorFlags{}
	cmd := &cobra.Command{Use: use, Short: short, Args: cobra.ExactArgs(strings.Count(use, " "))}
	cmd.RunE = withExitCode(func(cmd *cobra.Command, args []string) error { return f.sendChange(cmd, change(args)) })
	addCommandFlags(cmd, f)
	return cmd
}

func newConfigHistory() *cobra.Command {
	f := &operatorFlags{}
	cmd := &cobra.Command{Use: "history", Short: "List the accepted changes in the retained history", Args: cobra.NoArgs}
	cmd.RunE = withExitCode(func(cmd *cobra.Command, _ []string) error {
		history, err := f.client().History(cmd.Context())
		if err != nil {
			return err
		}
		return f.print(cmd.OutOrStdout(), history, func(w io.Writer) {
			for _, c := range history {
				fmt.Fprintf(w, "revision %d  %s  %s  %s  command-id %s\n", c.Revision, c.At.Format(time.RFC3339), c.Operator, c.Change, c.CommandID)
			}
		})
	})
	addQueryFlags(cmd, f)
	return cmd
}

func newExplain() *cobra.Command {
	f := &operatorFlags{}
	var files []string
	cmd := &cobra.Command{Use: "explain REQUEST-ID", Short: "Explain the decisions for a request", Args: cobra.ExactArgs(1)}
	cmd.RunE = withExitCode(func(cmd *cobra.Command, args []string) error {
		if args[0] == "" {
			return errors.New("request id must not be empty")
		}
		if len(files) > 0 {
			return explainFromLogs(cmd.OutOrStdout(), gypsumshelf.RequestID(args[0]), files)
		}
		notes, err := f.client().Explain(cmd.Context(), gypsumshelf.RequestID(args[0]))
		if err != nil {
			return err
		}
		return f.print(cmd.OutOrStdout(), notes, func(w io.Writer) {
			for _, n := range notes {
				fmt.Fprintf(w, "%s  %s\n", n.At.Format(time.RFC3339Nano), n.Text)
			}
		})
	})
	addServerFlags(cmd, f)
	cmd.Flags().StringArrayVar(&files, "log", nil, "log file of a daemon, read instead of asking a server (repeatable)")
	cmd.MarkFlagsOneRequired("server", "log")
	cmd.MarkFlagsMutuallyExclusive("server", "log")
	return cmd
}

// explainFromLogs prints the entries of log files that concern a request, in
// time order.
func explainFromLogs(w io.Writer, id gypsumshelf.RequestID, paths []string) error {
	var readers []io.Reader
	for _, path := range paths {
		f, err := os.Open(path)
		if err != nil {
			return err
		}
		defer f.Close()
		readers = append(readers, f)
	}
	timeline, err := logs.ReadTimeline(id, readers...)
	if err != nil {
		return err
	}
	for _, e := range timeline.Entries {
		fmt.Fprintln(w, e)
	}
	if timeline.Skipped > 0 {
		fmt.Fprintf(w, "%d lines were skipped: they are cut short or not lines of a daemon\n", timeline.Skipped)
	}
	if len(timeline.Entries) == 0 {
		return fmt.Errorf("no log line mentions request %s", id)
	}
	return nil
}
