package main

import (
	"context"
	"fmt"
	"net"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"cuminhook.org/cuminhook/lib/engine"
	standin "cuminhook.org/cuminhook/lib/standin/engine"
)

// stopTimeout bounds the wait for open requests when a stand-in stops.
const stopTimeout = 5 * time.Second

// stoppableServer is a stand-in that serves on a listener.
type stoppableServer interface {
	Serve(ln net.Listener) error
	Close(ctx context.Context) error
}

// serve runs s on addr until the process receives SIGINT or SIGTERM.
func serve(cmd *cobra.Command, addr string, s stoppableServer) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("cannot listen on %s: %w; choose a free address with --listen", addr, err)
	}
	ctx, cancel := signal.NotifyContext(cmd.Context(), syscall.SIGINT, syscall.SIGTERM)
	defer cancel()
	failed := make(chan error, 1)
	go func() { failed <- s.Serve(ln) }()
	fmt.Fprintf(cmd.OutOrStdout(), "listening on %s\n", ln.Addr())
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	stopCtx, cancelStop := context.WithTimeout(context.Background(), stopTimeout)
	defer cancelStop()
	return s.Close(stopCtx)
}

// newEngineCommand returns the subcommand that runs a model engine.
func newEngineCommand() *cobra.Command {
	var cfg standin.Config
	var listen string
	var resident []string
	cmd := &cobra.Command{
		Use:   "engine",
		Short: "Run a model engine",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			for _, text := range resident {
				r, err := parseResident(text)
				if err != nil {
					return err
				}
				cfg.Resident = append(cfg.Resident, r)
			}
			return serve(cmd, listen, standin.New(cfg))
		},
	}
	f := cmd.Flags()
	f.StringVar(&listen, "listen", "127.0.0.1:0", "IP:port to listen on")
	f.IntVar(&cfg.Slots, "slots", 8, "sequences in the batch")
	f.Float64Var(&cfg.PrefillTokensPerSecond, "prefill", 20_000, "prompt tokens a second; 0 for no delay")
	f.Float64Var(&cfg.DecodeTokensPerSecond, "decode", 50, "output tokens a second and sequence; 0 for no delay")
	f.Int64Var(&cfg.CapacityBytes, "capacity", 80<<30, "accelerator memory in bytes")
	f.Float64Var(&cfg.LoadBytesPerSecond, "load-rate", 4<<30, "bytes a second while loading; 0 for no delay")
	f.BoolVar(&cfg.RefuseOldFences, "fences", true, "refuse orders with an old fencing number")
	f.BoolVar(&cfg.Overcommit, "overcommit", false, "carry out loads beyond the capacity instead of refusing them")
	f.StringVar(&cfg.BootID, "boot", "", "boot id; random if empty")
	f.IntVar(&cfg.CacheSize, "cache", 64, "prompt prefixes kept")
	f.DurationVar(&cfg.CacheDelay, "cache-delay", time.Second, "age at which cache events are published")
	f.IntVar(&cfg.CacheGap, "cache-gap", 0, "drop each cache event whose number is a multiple of this; 0 for none")
	f.DurationVar(&cfg.LoadLag, "load-lag", 200*time.Millisecond, "age of load reports")
	f.StringSliceVar(&resident, "resident", nil, "initially loaded, each as kind:name:bytes, for example model:kestrel:1000")
	return cmd
}

func parseResident(text string) (engine.Resident, error) {
	parts := strings.Split(text, ":")
	if len(parts) == 3 && (parts[0] == "model" || parts[0] == "adapter") {
		if size, err := strconv.ParseInt(parts[2], 10, 64); err == nil && size >= 0 {
			return engine.Resident{Kind: parts[0], Name: parts[1], Bytes: size}, nil
		}
	}
	return engine.Resident{}, fmt.Errorf("--resident %q: write it as kind:name:bytes with kind model or adapter", text)
}
