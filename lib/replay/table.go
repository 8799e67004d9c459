package replay

import (
	"fmt"
	"io"
	"slices"
	"time"
)

// ScenarioByName returns a scenario.
func ScenarioByName(name string) (Scenario, error) {
	if s := Scenario(name); slices.Contains(Scenarios, s) {
		return s, nil
	}
	return "", fmt.Errorf("unknown scenario %q; use one of %v", name, Scenarios)
}

// Row is one scenario at one load, replayed with every policy.
type Row struct {
	Deployment string
	Scenario   Scenario
	Load       float64
	Reports    []*Report // in the order of PolicyNames
}

// Run fills the reports.
func (r *Row) Run(d *Deployment, length time.Duration, seed uint64) {
	trace := Generate(d, r.Scenario, r.Load, length, seed)
	for _, p := range policies {
		rep := Run(d, trace, p, seed)
		rep.Trace, rep.Load = string(r.Scenario), r.Load
		r.Reports = append(r.Reports, rep)
	}
}

func (r *Row) by(policy string) *Report {
	for _, rep := range r.Reports {
		if rep.Policy == policy {
			return rep
		}
	}
	return &Report{}
}

// WriteTable writes the rows as a Markdown table, followed by means and sums.
func WriteTable(w io.Writer, rows []Row) {
	fmt.Fprintln(w, "| deployment | scenario | load | static | least | cuminhook | bound | of bound | worst / mean org "+
		"| refused inside: least, cuminhook, bound | moves: cuminhook, eager | over rate | overcommit | unreachable s "+
		"| duplicates | TTFT p95 ms |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|")
	for i := range rows {
		writeRow(w, &rows[i])
	}
	fmt.Fprintln(w)
	for _, load := range []float64{0.7, 0.9, 1.1} {
		n, rel := 0.0, 0.0
		for i := range rows {
			if rows[i].Load == load {
				n++
				rel += rows[i].ofBound()
			}
		}
		if n > 0 {
			fmt.Fprintf(w, "mean share of the bound at load %.1f: %.3f\n", load, rel/n)
		}
	}
	moves, eager := 0, 0
	for i := range rows {
		moves += rows[i].by("cuminhook").Moves
		eager += rows[i].by("eager-moves").Moves
	}
	fmt.Fprintf(w, "moves: %d with hysteresis, %d without\n", moves, eager)
}

func (r *Row) ofBound() float64 {
	bound := r.by("upper-bound").Attainment
	if bound == 0 {
		return 1
	}
	return r.by("cuminhook").Attainment / bound
}

func writeRow(w io.Writer, r *Row) {
	own, least, bound, eager := r.by("cuminhook"), r.by("least-outstanding"), r.by("upper-bound"), r.by("eager-moves")
	fmt.Fprintf(w, "| %s | %s | %.1f | %.3f | %.3f | %.3f | %.3f | %.3f | %.3f / %.3f | %d, %d, %d | %d, %d | %d | %d | %.1f | %d | %.0f |\n",
		r.Deployment, r.Scenario, r.Load, r.by("static").Attainment, least.Attainment, own.Attainment, bound.Attainment,
		r.ofBound(), own.WorstOrganisationAttainment, own.MeanOrganisationAttainment,
		least.RefusedInsideRate, own.RefusedInsideRate, bound.RefusedInsideRate, own.Moves, eager.Moves, own.OverRateTokens,
		own.MemoryOvercommitEvents, own.UnreachableModelSeconds, own.DuplicateRuns, own.TTFTP95)
}
