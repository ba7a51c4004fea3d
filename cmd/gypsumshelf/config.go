package main

import (
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"gypsumshelf.example/gypsumshelf/settings"
)

func newConfig() *cobra.Command {
	return newCommandGroup("config", "Check settings files and list configuration changes", newConfigCheck(), newConfigHistory())
}

func newConfigCheck() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Check a settings file and print every error with its line and key",
		Args:  cobra.ExactArgs(1),
		RunE: withExitCode(func(cmd *cobra.Command, args []string) error {
			err := settings.Check(args[0])
			var invalid settings.ValidationErrors
			if errors.As(err, &invalid) {
				for _, e := range invalid {
					fmt.Fprintf(cmd.OutOrStdout(), "%s:%s\n", args[0], e)
				}
				return fmt.Errorf("%s has %d errors", args[0], len(invalid))
			}
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s has no errors\n", args[0])
			return nil
		}),
	}
}
