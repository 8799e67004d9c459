// Command cuminhook-standin runs small stand-ins of the platform's components for demo and tests.
package main

import (
	"os"

	"github.com/spf13/cobra"
)

func main() {
	root := &cobra.Command{Use: "cuminhook-standin", Short: "Run a stand-in of a platform component", SilenceUsage: true}
	root.AddCommand(newEngineCommand(), newServiceCommand())
	if root.Execute() != nil {
		os.Exit(1)
	}
}
