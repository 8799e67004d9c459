// Command cuminhook-gateway authenticates and admits callers' requests and forwards them to targets.
package main

import (
	"context"
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
	cfg := defaults()
	return settings.Program{
		Use: "cuminhook-gateway", Short: "Pass callers' requests to targets", Path: "/etc/cuminhook/gateway.yaml", Settings: &cfg,
		Run: func(ctx context.Context, _ string) error { return run(ctx, cfg) },
	}.Command()
}
