package main

import (
	"github.com/spf13/cobra"

	"cuminhook.org/cuminhook/lib/standin/weights"
)

func newWeightsCommand() *cobra.Command { return weights.NewCommand(serveHandler) }
