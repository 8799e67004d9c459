// Command cuminhook-admin serves the administration API: change tickets and read-back.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"github.com/valyala/fasthttp"

	"cuminhook.org/cuminhook/lib/adminapi"
	"cuminhook.org/cuminhook/lib/confview"
	"cuminhook.org/cuminhook/lib/host"
	"cuminhook.org/cuminhook/lib/mesh"
	"cuminhook.org/cuminhook/lib/settings"
)

// stopTimeout bounds a planned stop; it is long enough for a ticket in progress.
const stopTimeout = 12 * time.Second

// Settings holds the settings of the administration API.
type Settings struct {
	settings.Node `yaml:",inline"`
	Listen        string `yaml:"listen"` // IP:port of the API
	Token         string `yaml:"token"`  // operators' token; empty: no token needed
}

// Validate implements settings.Validator.
func (s *Settings) Validate() error {
	if err := s.Node.Validate(); err != nil {
		return err
	}
	if err := settings.CheckAddr("listen", s.Listen); err != nil {
		return err
	}
	if addr := netip.MustParseAddrPort(s.Listen).Addr(); s.Token == "" && !addr.IsLoopback() {
		return fmt.Errorf("listen: %s is open to other hosts and token is empty; set a token, or listen on 127.0.0.1", addr)
	}
	return nil
}

func main() {
	var path string
	root := &cobra.Command{
		Use:           "cuminhook-admin",
		Short:         "Administration API: change tickets and read-back of what is in force",
		Example:       "  cuminhook-admin --config admin.yaml",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(cmd *cobra.Command, _ []string) error { return run(cmd.Context(), path) },
	}
	root.Flags().StringVar(&path, "config", "admin.yaml", "settings file")
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := root.ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(ctx context.Context, path string) error {
	s := Settings{Listen: "127.0.0.1:7300"}
	if err := settings.Load(path, &s); err != nil {
		return err
	}
	h, err := host.New(&s.Node, mesh.RoleAdmin)
	if err != nil {
		return err
	}
	writer := h.NewWriter()
	api := adminapi.New(h.Mesh, writer, adminapi.Config{Token: s.Token, Log: h.Log, Zone: s.Zone})
	apiListener, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w; choose another port", err)
	}
	metricsListener, err := net.Listen("tcp", s.Metrics)
	if err != nil {
		return fmt.Errorf("metrics: %w; choose another port", err)
	}
	return serve(ctx, apiListener, metricsListener, api, h.Mesh)
}

// meshMember is this process as a member of the mesh.
type meshMember interface {
	confview.View
	// Run takes part in the mesh until ctx ends.
	Run(ctx context.Context) error
	// NotifyLeaving notifies the other members that this process is leaving.
	NotifyLeaving(ctx context.Context)
}

// serve runs the API, the metrics server and the mesh until ctx ends. It then finishes the tickets in progress before
// it stops the mesh.
func serve(ctx context.Context, apiListener, metricsListener net.Listener, api *adminapi.Server, m meshMember) error {
	meshCtx, leave := context.WithCancel(context.WithoutCancel(ctx))
	defer leave()
	apiServer, status := newServer(api.Handle), host.NewStatusServer(m)
	failed := make(chan error, 3)
	go func() { failed <- m.Run(meshCtx) }()
	go func() { failed <- status.Serve(metricsListener) }()
	go func() { failed <- apiServer.Serve(apiListener) }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	stopCtx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	status.SetStopping()
	m.NotifyLeaving(stopCtx)
	return errors.Join(apiServer.ShutdownWithContext(stopCtx), status.Close())
}

func newServer(handler fasthttp.RequestHandler) *fasthttp.Server {
	return &fasthttp.Server{
		Handler: handler, MaxRequestBodySize: adminapi.MaxBody, CloseOnShutdown: true,
		NoDefaultServerHeader: true, ReadTimeout: 10 * time.Second, IdleTimeout: time.Minute,
	}
}
