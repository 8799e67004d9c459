// Command cuminhook-admin serves the administration API: change tickets and read-back.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"github.com/valyala/fasthttp"

	"cuminhook.org/cuminhook/lib/adminapi"
	"cuminhook.org/cuminhook/lib/confview"
	"cuminhook.org/cuminhook/lib/kv/httpkv"
	"cuminhook.org/cuminhook/lib/manifest"
	"cuminhook.org/cuminhook/lib/settings"
)

// stopTimeout covers a ticket in progress.
const stopTimeout = 12 * time.Second

// Settings are the settings of the program.
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
	return settings.CheckAddr("listen", s.Listen)
}

// mesh is this host's membership of the mesh.
type mesh interface {
	confview.View
	manifest.Announcer
	// Run takes part in the mesh until ctx ends.
	Run(ctx context.Context) error
}

// newMesh joins the mesh. It is the place where lib/mesh is wired in.
var newMesh = func(settings.Node, *slog.Logger) (mesh, error) {
	return nil, errors.New("the mesh is not wired into this program")
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
	log := slog.New(slog.NewJSONHandler(os.Stderr, nil)).With("host", s.Host, "program", "cuminhook-admin")
	store, err := httpkv.New(s.KV)
	if err != nil {
		return err
	}
	m, err := newMesh(s.Node, log)
	if err != nil {
		return err
	}
	writer := manifest.NewWriter(store, m, manifest.Config{Known: func() int64 { return confview.Known(m) }})
	api := adminapi.New(m, writer, adminapi.Config{Token: s.Token, Log: log})
	return serve(ctx, s.Listen, api, m)
}

// serve runs API and mesh until ctx ends, then finishes the tickets in progress before it leaves the mesh.
func serve(ctx context.Context, addr string, api *adminapi.Server, m mesh) error {
	meshCtx, leave := context.WithCancel(context.WithoutCancel(ctx))
	defer leave()
	server := &fasthttp.Server{
		Handler: api.Handle, MaxRequestBodySize: adminapi.MaxBody, CloseOnShutdown: true,
		NoDefaultServerHeader: true, ReadTimeout: 10 * time.Second, IdleTimeout: time.Minute,
	}
	failed := make(chan error, 2)
	go func() { failed <- m.Run(meshCtx) }()
	go func() { failed <- server.ListenAndServe(addr) }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
		stop, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		return server.ShutdownWithContext(stop)
	}
}
