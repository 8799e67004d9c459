package workload

import "math"

// BySpeed returns the engine load by model at the real speeds of the models; slowness is the engine time of a model in proportion
// to that of an average one. The sum stays the same: where all models are slow, all have to share what there is.
func BySpeed(load map[string]float64, slowness func(model string) float64) map[string]float64 {
	sum, scaled := 0.0, 0.0
	out := make(map[string]float64, len(load))
	for model, ms := range load {
		out[model] = ms * slowness(model)
		sum += ms
		scaled += out[model]
	}
	for model := range out {
		out[model] = math.Round(out[model]*sum/max(scaled, minAverage)*1000) / 1000 // few digits, as states carry them
	}
	return out
}
