// Command cuminhook-gateway passes callers' requests through the filters to targets.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"cuminhook.org/cuminhook/lib/settings"
)

func main() {
	if newCommand().Execute() != nil {
		os.Exit(1)
	}
}

func newCommand() *cobra.Command {
	var path string
	var check, print bool
	cmd := &cobra.Command{
		Use: "cuminhook-gateway", Short: "Pass callers' requests to targets", Args: cobra.NoArgs, SilenceUsage: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg := defaults()
			if err := settings.Load(path, &cfg); err != nil {
				return err
			}
			switch {
			case print:
				text, err := settings.Print(cfg)
				fmt.Fprint(cmd.OutOrStdout(), text)
				return err
			case check:
				fmt.Fprintf(cmd.OutOrStdout(), "%s: valid\n", path)
				return nil
			}
			return run(cmd.Context(), cfg)
		},
	}
	cmd.Flags().StringVar(&path, "config", "/etc/cuminhook/gateway.yaml", "settings file")
	cmd.Flags().BoolVar(&check, "check-config", false, "check the settings and exit")
	cmd.Flags().BoolVar(&print, "print-config", false, "print the settings with their defaults and exit")
	return cmd
}
