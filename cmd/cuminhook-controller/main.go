// Command cuminhook-controller places models and adapters on the targets of a cell.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"cuminhook.org/cuminhook/lib/settings"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := newCommand().ExecuteContext(ctx); err != nil {
		os.Exit(1)
	}
}

func newCommand() *cobra.Command {
	var path string
	var check, print bool
	cmd := &cobra.Command{
		Use:          "cuminhook-controller --config FILE",
		Short:        "Places models and adapters on the targets of a cell",
		Args:         cobra.NoArgs,
		SilenceUsage: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s := defaults()
			if err := settings.Load(path, s); err != nil {
				return err
			}
			switch {
			case print:
				out, err := settings.Format(s)
				fmt.Fprint(cmd.OutOrStdout(), out)
				return err
			case check:
				fmt.Fprintln(cmd.OutOrStdout(), path+": ok")
				return nil
			}
			return run(cmd.Context(), s)
		},
	}
	cmd.Flags().StringVar(&path, "config", "", "settings file (YAML)")
	cmd.Flags().BoolVar(&check, "check-config", false, "check the settings and exit")
	cmd.Flags().BoolVar(&print, "print-config", false, "print the settings with defaults and exit")
	_ = cmd.MarkFlagRequired("config")
	return cmd
}
