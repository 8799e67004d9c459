package main

import (
	"github.com/spf13/cobra"

	standin "cuminhook.org/cuminhook/lib/standin/service"
)

// newServiceCommand returns the subcommand that runs a plain service.
func newServiceCommand() *cobra.Command {
	var listen string
	cmd := &cobra.Command{
		Use:   "service",
		Short: "Run a plain service",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return serve(cmd, listen, standin.New()) },
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "IP:port to listen on")
	return cmd
}
