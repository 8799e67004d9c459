package replay

import (
	"fmt"
	"io"
	"slices"
	"time"
)

// ScenarioByName returns the scenario of that name, or an error that lists all names.
func ScenarioByName(name string) (Scenario, error) {
	if s := Scenario(name); slices.Contains(Scenarios, s) {
		return s, nil
	}
	return "", fmt.Errorf("unknown scenario %q; use one of %v", name, Scenarios)
}

// ScenarioResult holds the reports of one scenario at one load, replayed with every policy.
type ScenarioResult struct {
	Deployment string
	Scenario   Scenario
	Load       float64
	Reports    []*Report // in the order of PolicyNames
}

// Run generates the trace and appends a report for each policy.
func (r *ScenarioResult) Run(d *Deployment, length time.Duration, seed uint64) {
	trace := Generate(d, r.Scenario, r.Load, length, seed)
	for _, p := range policies {
		rep := Run(d, trace, p, seed)
		rep.Trace, rep.Load = string(r.Scenario), r.Load
		r.Reports = append(r.Reports, rep)
	}
}

// reportOf returns the report of the policy, or an empty report if there is none.
func (r *ScenarioResult) reportOf(policy string) *Report {
	for _, rep := range r.Reports {
		if rep.Policy == policy {
			return rep
		}
	}
	return &Report{}
}

// WriteTable writes the results as a Markdown table with one row each, followed by the mean fraction of the upper bound
// at each load and the total numbers of moves.
func WriteTable(w io.Writer, results []ScenarioResult) {
	fmt.Fprintln(w, "| deployment | scenario | load | static | least | cuminhook | bound | of bound | worst / mean org "+
		"| refused inside: least, cuminhook, bound | moves: cuminhook, eager | over rate | overcommit | unreachable s "+
		"| duplicates | TTFT p95 ms |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|")
	for i := range results {
		writeRow(w, &results[i])
	}
	fmt.Fprintln(w)
	for _, load := range []float64{0.7, 0.9, 1.1} {
		n, rel := 0.0, 0.0
		for i := range results {
			if results[i].Load == load {
				n++
				rel += results[i].fractionOfBound()
			}
		}
		if n > 0 {
			fmt.Fprintf(w, "mean share of the bound at load %.1f: %.3f\n", load, rel/n)
		}
	}
	moves, eager := 0, 0
	for i := range results {
		moves += results[i].reportOf("cuminhook").Moves
		eager += results[i].reportOf("eager-moves").Moves
	}
	fmt.Fprintf(w, "moves: %d with hysteresis, %d without\n", moves, eager)
}

// fractionOfBound returns the attainment of policy cuminhook as a fraction of that of policy upper-bound.
func (r *ScenarioResult) fractionOfBound() float64 {
	bound := r.reportOf("upper-bound").Attainment
	if bound == 0 {
		return 1
	}
	return r.reportOf("cuminhook").Attainment / bound
}

func writeRow(w io.Writer, r *ScenarioResult) {
	cuminhook, leastOutstanding, bound, eager := r.reportOf("cuminhook"), r.reportOf("least-outstanding"),
		r.reportOf("upper-bound"), r.reportOf("eager-moves")
	fmt.Fprintf(w, "| %s | %s | %.1f | %.3f | %.3f | %.3f | %.3f | %.3f | %.3f / %.3f | %d, %d, %d | %d, %d | %d | %d | %.1f | %d | %.0f |\n",
		r.Deployment, r.Scenario, r.Load,
		r.reportOf("static").Attainment, leastOutstanding.Attainment, cuminhook.Attainment, bound.Attainment,
		r.fractionOfBound(), cuminhook.WorstOrganisationAttainment, cuminhook.MeanOrganisationAttainment,
		leastOutstanding.RefusedInsideRate, cuminhook.RefusedInsideRate, bound.RefusedInsideRate,
		cuminhook.Moves, eager.Moves, cuminhook.OverRateTokens,
		cuminhook.MemoryOvercommitEvents, cuminhook.UnreachableModelSeconds, cuminhook.DuplicateRuns, cuminhook.TTFTP95MS)
}
