package main

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"
	"github.com/valyala/fasthttp"

	"cuminhook.org/cuminhook/lib/hostlist"
	"cuminhook.org/cuminhook/lib/settings"
	"cuminhook.org/cuminhook/lib/standin/kv"
)

// hostsFile is the content of the file that --hosts names.
type hostsFile struct {
	Hosts []hostlist.Host `yaml:"hosts"`
}

// Validate implements settings.Validator.
func (s *hostsFile) Validate() error {
	for i, h := range s.Hosts {
		if h.ID == "" || h.Role == "" {
			return fmt.Errorf("hosts[%d]: id and role are required", i)
		}
		if err := settings.CheckAddr(fmt.Sprintf("hosts[%d].addr", i), h.Addr); err != nil {
			return err
		}
	}
	return nil
}

func newKVCommand() *cobra.Command {
	var listen, hosts string
	var lag time.Duration
	c := &cobra.Command{
		Use:   "kv",
		Short: "Key-value service and host list",
		Long: "Key-value service and host list in memory.\n\n" +
			"GET and POST /v1/hosts read the list and add a host to it; changes show after --lag.\n" +
			"POST /fault injects faults: outage, silent, slow_ms, lost_answers; host with leaving or removed.",
		Example: "  cuminhook-standin kv --listen 127.0.0.1:7400 --hosts hosts.yaml\n" +
			"  curl -d '{\"outage\":true}' http://127.0.0.1:7400/fault",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var s hostsFile
			if hosts != "" {
				if err := settings.Load(hosts, &s); err != nil {
					return err
				}
			}
			if err := settings.CheckAddr("listen", listen); err != nil {
				return err
			}
			server := kv.New(kv.Config{Hosts: s.Hosts, Lag: lag})
			return serveHandler(cmd.Context(), listen, server.Handle)
		},
	}
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:7400", "IP:port to listen on")
	c.Flags().StringVar(&hosts, "hosts", "", "YAML file with the initial host list under 'hosts'")
	c.Flags().DurationVar(&lag, "lag", time.Second, "time until changes of the host list show")
	return c
}

// maxBodyBytes leaves space for the largest value of the store in base64.
const maxBodyBytes = 4 << 20

func newServer(handler fasthttp.RequestHandler) *fasthttp.Server {
	return &fasthttp.Server{
		Handler: handler, MaxRequestBodySize: maxBodyBytes, CloseOnShutdown: true, NoDefaultServerHeader: true,
		ReadTimeout: time.Minute, IdleTimeout: time.Minute,
	}
}
