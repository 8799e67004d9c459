// Command cuminhook-replay replays traces against a simulated deployment in virtual time. It also generates traces and
// compares all policies over the generated scenarios.
package main

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"cuminhook.org/cuminhook/lib/replay"
	"cuminhook.org/cuminhook/lib/settings"
)

func main() {
	if newCommand().Execute() != nil {
		os.Exit(1)
	}
}

// newCommand returns the root command, which replays one trace.
func newCommand() *cobra.Command {
	var deployment, trace, policy string
	var seed uint64
	cmd := &cobra.Command{
		Use: "cuminhook-replay", Short: "Replay a trace and print one line of JSON", Args: cobra.NoArgs, SilenceUsage: true,
		Example: "  cuminhook-replay --deployment deployment.yaml --trace trace.jsonl --policy cuminhook",
		RunE: func(cmd *cobra.Command, _ []string) error {
			d, err := loadDeployment(deployment)
			if err != nil {
				return err
			}
			records, err := loadTrace(trace, d)
			if err != nil {
				return err
			}
			p, err := replay.PolicyByName(policy)
			if err != nil {
				return err
			}
			r := replay.Run(d, records, p, seed)
			r.Trace = strings.TrimSuffix(strings.TrimSuffix(filepath.Base(trace), ".gz"), ".jsonl")
			fmt.Fprintln(cmd.OutOrStdout(), r.JSON())
			return nil
		},
	}
	f := cmd.Flags()
	f.StringVar(&deployment, "deployment", "", "deployment file (YAML)")
	f.StringVar(&trace, "trace", "", "trace file (JSON lines, plain or gzip)")
	f.StringVar(&policy, "policy", "cuminhook", "one of "+strings.Join(replay.PolicyNames(), ", "))
	f.Uint64Var(&seed, "seed", 1, "seed of the random numbers")
	_ = cmd.MarkFlagRequired("deployment")
	_ = cmd.MarkFlagRequired("trace")
	cmd.AddCommand(newGenerateCommand(), newMeasureCommand())
	return cmd
}

func loadDeployment(path string) (*replay.Deployment, error) {
	d := &replay.Deployment{}
	return d, settings.Load(path, d)
}

func loadTrace(path string, d *replay.Deployment) ([]replay.Record, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("trace: %w; pass an existing file with --trace", err)
	}
	defer f.Close()
	return replay.ReadTrace(f, d)
}

// newGenerateCommand returns the sub-command that writes a generated trace.
func newGenerateCommand() *cobra.Command {
	var deployment, scenario string
	var load float64
	var length time.Duration
	var seed uint64
	cmd := &cobra.Command{
		Use: "generate", Short: "Write a trace to standard output", Args: cobra.NoArgs, SilenceUsage: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			d, err := loadDeployment(deployment)
			if err != nil {
				return err
			}
			s, err := replay.ScenarioByName(scenario)
			if err != nil {
				return err
			}
			out := bufio.NewWriter(cmd.OutOrStdout())
			if err := replay.WriteTrace(out, replay.Generate(d, s, load, length, seed)); err != nil {
				return err
			}
			return out.Flush()
		},
	}
	f := cmd.Flags()
	f.StringVar(&deployment, "deployment", "", "deployment file (YAML)")
	f.StringVar(&scenario, "scenario", "steady", fmt.Sprintf("one of %v", replay.Scenarios))
	f.Float64Var(&load, "load", 0.9, "offered load as a fraction of the capacity of the deployment")
	f.DurationVar(&length, "length", time.Minute, "length of the trace")
	f.Uint64Var(&seed, "seed", 1, "seed of the random numbers")
	_ = cmd.MarkFlagRequired("deployment")
	return cmd
}

// offeredLoads are the loads that measure replays, as fractions of the capacity. WriteTable prints means for the same
// loads.
var offeredLoads = []float64{0.7, 0.9, 1.1}

// newMeasureCommand returns the sub-command that compares all policies.
func newMeasureCommand() *cobra.Command {
	var length time.Duration
	var seed uint64
	var asJSON bool
	cmd := &cobra.Command{
		Use: "measure DEPLOYMENT...", Short: "Replay all scenarios with all policies and print a table",
		Args: cobra.MinimumNArgs(1), SilenceUsage: true,
		RunE: func(cmd *cobra.Command, args []string) error {
			results, err := measure(args, length, seed)
			if err != nil {
				return err
			}
			for _, result := range results {
				if asJSON {
					for _, r := range result.Reports {
						fmt.Fprintln(cmd.OutOrStdout(), r.JSON())
					}
				}
			}
			if !asJSON {
				replay.WriteTable(cmd.OutOrStdout(), results)
			}
			return nil
		},
	}
	cmd.Flags().DurationVar(&length, "length", time.Minute, "length of each trace")
	cmd.Flags().Uint64Var(&seed, "seed", 1, "seed of traces and replays")
	cmd.Flags().BoolVar(&asJSON, "json", false, "print one line of JSON for each replay")
	return cmd
}

// measure replays every scenario at every load with every policy on each deployment file. The results are computed in
// parallel; the replays of one result run one after the other.
func measure(paths []string, length time.Duration, seed uint64) ([]replay.ScenarioResult, error) {
	var results []replay.ScenarioResult
	var deployments []*replay.Deployment
	for _, path := range paths {
		d, err := loadDeployment(path)
		if err != nil {
			return nil, err
		}
		for _, load := range offeredLoads {
			for _, scenario := range replay.Scenarios {
				results = append(results, replay.ScenarioResult{Deployment: d.Name, Scenario: scenario, Load: load})
				deployments = append(deployments, d)
			}
		}
	}
	var g errgroup.Group
	g.SetLimit(runtime.GOMAXPROCS(0))
	for i := range results {
		g.Go(func() error {
			results[i].Run(deployments[i], length, seed)
			return nil
		})
	}
	return results, g.Wait()
}
