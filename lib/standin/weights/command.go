package weights

import (
	"context"
	"fmt"
	"time"

	"github.com/spf13/cobra"
	"github.com/valyala/fasthttp"

	"cuminhook.org/cuminhook/lib/settings"
	"cuminhook.org/cuminhook/lib/weights"
)

// artifactsFile is the content of the file that --artifacts names.
type artifactsFile struct {
	Artifacts []Artifact `yaml:"artifacts"`
}

// Validate implements settings.Validator.
func (s *artifactsFile) Validate() error {
	for i, a := range s.Artifacts {
		if a.Name == "" || a.Bytes <= 0 {
			return fmt.Errorf("artifacts[%d]: name and bytes above zero are required", i)
		}
	}
	return nil
}

// NewCommand returns the subcommand. serve runs a handler on an address until the context ends.
func NewCommand(serve func(context.Context, string, fasthttp.RequestHandler) error) *cobra.Command {
	var listen, artifacts string
	cfg := Config{}
	c := &cobra.Command{
		Use:     "weights",
		Short:   "Weight store with rate limits",
		Example: "  cuminhook-standin weights --listen 127.0.0.1:7420 --artifacts artifacts.yaml",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var s artifactsFile
			if artifacts != "" {
				if err := settings.Load(artifacts, &s); err != nil {
					return err
				}
			}
			if err := settings.CheckAddr("listen", listen); err != nil {
				return err
			}
			if cfg.Limits.LoadsPerSecond <= 0 || cfg.BytesPerSecond <= 0 {
				return fmt.Errorf("--loads-per-second and --bytes-per-second must be above zero")
			}
			cfg.Artifacts = s.Artifacts
			return serve(cmd.Context(), listen, New(cfg).Handle)
		},
	}
	f := c.Flags()
	f.StringVar(&listen, "listen", "127.0.0.1:7420", "IP:port to listen on")
	f.StringVar(&artifacts, "artifacts", "", "YAML file with the artifacts under 'artifacts'")
	limits := weights.Limits{LoadsPerSecond: 2, FullSpeedLoads: 3, AdapterLoadsAtSpeed: 25}
	f.Float64Var(&cfg.Limits.LoadsPerSecond, "loads-per-second", limits.LoadsPerSecond, "model loads started a second")
	f.IntVar(&cfg.Limits.FullSpeedLoads, "full-speed-loads", limits.FullSpeedLoads, "model loads at once at full speed")
	f.IntVar(&cfg.Limits.AdapterLoadsAtSpeed, "adapter-loads-at-speed", limits.AdapterLoadsAtSpeed, "adapter loads at once at full speed")
	f.Float64Var(&cfg.BytesPerSecond, "bytes-per-second", 20e9, "speed of one model load")
	f.DurationVar(&cfg.AdapterLoadTime, "adapter-time", 5*time.Millisecond, "time of one adapter load at full speed")
	return c
}
