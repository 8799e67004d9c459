package settings

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"
)

// Program describes a program that is started with a settings file.
type Program struct {
	Use, Short string
	Path       string    // default path of the settings file; --config overrides it
	Settings   Validator // holds the defaults; the file is decoded into it
	Run        func(ctx context.Context, path string) error
}

// Command returns the program's command with the flags --config, --check-config and --print-config.
func (p Program) Command() *cobra.Command {
	path := p.Path
	var check, print bool
	cmd := &cobra.Command{
		Use: p.Use, Short: p.Short, Args: cobra.NoArgs, SilenceUsage: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := Load(path, p.Settings); err != nil {
				return err
			}
			switch {
			case print:
				text, err := Format(p.Settings)
				fmt.Fprint(cmd.OutOrStdout(), text)
				return err
			case check:
				fmt.Fprintf(cmd.OutOrStdout(), "%s: valid\n", path)
				return nil
			}
			return p.Run(cmd.Context(), path)
		},
	}
	cmd.Flags().StringVar(&path, "config", path, "settings file")
	cmd.Flags().BoolVar(&check, "check-config", false, "check the settings and exit")
	cmd.Flags().BoolVar(&print, "print-config", false, "print the settings with their defaults and exit")
	return cmd
}
