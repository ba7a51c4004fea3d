package main

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"gypsumshelf.example/gypsumshelf/accounts"
)

// defaultAccountWindow is the length of the windows in which the targets of deployments
// are judged.
const defaultAccountWindow = 2 * time.Second

func newAccount() *cobra.Command {
	var files []string
	var format, output string
	var window time.Duration
	cmd := &cobra.Command{
		Use:   "account --log FILE...",
		Short: "Add up from logs which requests were late, refused or failed, by class, data centre and time",
		Long: "Add up the lines \"request ended\" of the logs of daemons, by window, class and data centre. A\n" +
			"request counts in the window in which it arrived; the first window begins with the first request.\n" +
			"Lines that were skipped are counted on standard error.",
		Args: cobra.NoArgs,
		RunE: withExitCode(func(cmd *cobra.Command, _ []string) error {
			f, err := accounts.ParseFormat(format)
			if err != nil {
				return err
			}
			if err := accounts.CheckWindow(window); err != nil {
				return err
			}
			if err := checkOutput(output, files); err != nil {
				return err
			}
			var log accounts.Log
			for _, name := range files {
				if err := readLog(cmd, &log, name); err != nil {
					return err
				}
			}
			account, err := log.Account(window)
			if err != nil {
				return err
			}
			return writeAccount(cmd, account, f, output)
		}),
	}
	flags := cmd.Flags()
	flags.StringArrayVar(&files, "log", nil, "log file of a daemon, or - for standard input (repeatable)")
	flags.StringVar(&format, "format", string(accounts.Table), "table, json or svg")
	flags.DurationVar(&window, "window", defaultAccountWindow, "length of a window")
	flags.StringVar(&output, "output", "", "file to write instead of standard output")
	_ = cmd.MarkFlagRequired("log")
	return cmd
}

// checkOutput refuses to replace a log by its account.
func checkOutput(output string, files []string) error {
	written, err := os.Stat(output)
	if err != nil {
		return nil // there is no such file yet, or writing it will fail
	}
	for _, name := range files {
		if read, err := os.Stat(name); err == nil && os.SameFile(written, read) {
			return fmt.Errorf("%s is given both as --log and as --output", name)
		}
	}
	return nil
}

func readLog(cmd *cobra.Command, log *accounts.Log, name string) error {
	in := cmd.InOrStdin()
	if name != "-" {
		f, err := os.Open(name)
		if err != nil {
			return err
		}
		defer f.Close()
		in = f
	}
	n, skipped, err := log.Read(in)
	fmt.Fprintf(cmd.ErrOrStderr(), "%s: %d requests; skipped lines: %v\n", name, n, skipped)
	return err
}

// writeAccount writes to a file only when the whole report is there.
func writeAccount(cmd *cobra.Command, account *accounts.Account, f accounts.Format, output string) error {
	var out io.Writer = cmd.OutOrStdout()
	if output == "" {
		return account.Write(out, f)
	}
	var buf bytes.Buffer
	if err := account.Write(&buf, f); err != nil {
		return err
	}
	return os.WriteFile(output, buf.Bytes(), 0o644)
}
