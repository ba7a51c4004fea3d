package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os/user"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/configs"
	"gypsumshelf.example/gypsumshelf/operators"
)

// operatorFlags are the flags that the operator commands share.
type operatorFlags struct {
	servers   []string
	output    string
	commandID string
	operator  string
	revision  uint64
}

func addQueryFlags(cmd *cobra.Command, f *operatorFlags) {
	addServerFlags(cmd, f)
	_ = cmd.MarkFlagRequired("server")
}

// addServerFlags adds the flags of a command for which --server is optional.
func addServerFlags(cmd *cobra.Command, f *operatorFlags) {
	cmd.Flags().StringSliceVar(&f.servers, "server", nil, "IP:PORT of a daemon's listener for operators (repeatable, tried in order)")
	cmd.Flags().StringVar(&f.output, "output", "text", "text or json")
	cmd.PreRunE = func(*cobra.Command, []string) error { return f.validate() }
}

func addCommandFlags(cmd *cobra.Command, f *operatorFlags) {
	addQueryFlags(cmd, f)
	cmd.Flags().StringVar(&f.commandID, "command-id", "", "idempotency id: a resent command with the same id is applied once; generated and printed when absent")
	cmd.Flags().Uint64Var(&f.revision, "revision", 0, "configuration revision on which the change is based; the current one when absent")
	cmd.Flags().StringVar(&f.operator, "operator", userName(), "name recorded with the change")
}

func userName() string {
	if u, err := user.Current(); err == nil && u.Username != "" {
		return u.Username
	}
	return "unknown"
}

func (f *operatorFlags) validate() error {
	for _, server := range f.servers {
		if _, err := netip.ParseAddrPort(server); err != nil {
			return fmt.Errorf("flag --server is %q, want IP:PORT", server)
		}
	}
	if f.output != "text" && f.output != "json" {
		return fmt.Errorf("flag --output is %q, want text or json", f.output)
	}
	return nil
}

func (f *operatorFlags) client() *operators.Client {
	return operators.NewClient(operators.ClientConfig{DaemonAddresses: f.servers})
}

// print writes v as JSON or calls writeText, depending on --output.
func (f *operatorFlags) print(w io.Writer, v any, writeText func(io.Writer)) error {
	if f.output == "json" {
		return json.NewEncoder(w).Encode(v)
	}
	writeText(w)
	return nil
}

// sendChange sends a change and prints the response. It prints the command id
// before it sends the command, so that the operator can resend the same command
// when the response is lost.
func (f *operatorFlags) sendChange(cmd *cobra.Command, change configs.Change) error {
	command := configs.OperatorCommand{
		CommandID: f.commandID, Operator: f.operator, Revision: gypsumshelf.Revision(f.revision), Change: change,
	}
	client := f.client()
	if !cmd.Flags().Changed("revision") {
		status, err := client.Status(cmd.Context())
		if err != nil {
			return err
		}
		command.Revision = status.Revision
	}
	if command.CommandID == "" {
		id, err := operators.NewCommandID()
		if err != nil {
			return merry.Prepend(err, "command id cannot be generated")
		}
		command.CommandID = id
	}
	idWriter := cmd.OutOrStdout()
	if f.output == "json" {
		idWriter = cmd.ErrOrStderr()
	}
	fmt.Fprintf(idWriter, "command-id: %s\n", command.CommandID)
	response, err := client.Execute(cmd.Context(), command)
	if err != nil {
		return err
	}
	err = f.print(cmd.OutOrStdout(), response, func(w io.Writer) {
		if response.Accepted {
			fmt.Fprintln(w, response.Text)
		}
	})
	if err != nil || response.Accepted {
		return err
	}
	return fmt.Errorf("refused: %s: %s", response.Code, response.Text)
}

// newCommandGroup returns a command that consists of subcommands. Calling it
// without one of them is a usage error.
func newCommandGroup(use, short string, subcommands ...*cobra.Command) *cobra.Command {
	cmd := &cobra.Command{Use: use, Short: short, Args: cobra.ArbitraryArgs, RunE: func(_ *cobra.Command, args []string) error {
		if len(args) > 0 {
			return fmt.Errorf("unknown command %q for %q", args[0], use)
		}
		return errors.New("a subcommand is required")
	}}
	cmd.AddCommand(subcommands...)
	return cmd
}
