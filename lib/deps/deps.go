//go:build deps

// Package deps pins the libraries that the packages under construction use.
package deps

import (
	_ "github.com/VictoriaMetrics/metrics"
	_ "github.com/anishathalye/porcupine"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/google/uuid"
	_ "github.com/rotisserie/eris"
	_ "github.com/spf13/cobra"
	_ "golang.org/x/sync/errgroup"
	_ "pgregory.net/rapid"
)
