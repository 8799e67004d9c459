// Command cuminhook-standin runs small stand-ins for the platform's services, for the demo and for tests.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"github.com/valyala/fasthttp"
)

// commands returns the subcommands, one for each file of this package.
func commands() []*cobra.Command {
	return []*cobra.Command{
		newEngineCommand(),
		newKVCommand(),
		newServiceCommand(),
		newWeightsCommand(),
	}
}

func main() {
	root := &cobra.Command{
		Use:           "cuminhook-standin",
		Short:         "Stand-ins for the platform, for the demo and for tests",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(commands()...)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := root.ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// serveHandler runs handler on addr until ctx ends.
func serveHandler(ctx context.Context, addr string, handler fasthttp.RequestHandler) error {
	server := newServer(handler)
	failed := make(chan error, 1)
	go func() { failed <- server.ListenAndServe(addr) }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
		stopCtx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		return server.ShutdownWithContext(stopCtx)
	}
}
