package workload

import (
	"math"
	"testing"
)

// Guards against models that get copies by the engine time of an average model: a slow one is always short of them then.
func TestLoadIsByTheRealSpeed(t *testing.T) {
	slowness := map[string]float64{"slow": 2, "fast": 0.5, "average": 1}
	got := BySpeed(map[string]float64{"slow": 100, "fast": 100, "average": 150}, func(m string) float64 { return slowness[m] })
	if math.Abs(got["slow"]-4*got["fast"]) > 0.01 || math.Abs(got["slow"]+got["fast"]+got["average"]-350) > 0.01 {
		t.Errorf("%v, want the slow model at four times the fast one and 350 in all", got)
	}
	if got := BySpeed(map[string]float64{}, func(string) float64 { return 1 }); len(got) != 0 {
		t.Errorf("%v of no load", got)
	}
}
