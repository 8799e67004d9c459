package main

import (
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"cuminhook.org/cuminhook/lib/logtrace"
)

// traceCommand shows the lines of one request.
func (a *app) traceCommand() *cobra.Command {
	return &cobra.Command{
		Use: "trace ID [FILE...]", Short: "Show what hosts logged about one request, in order", Args: cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			return a.withLogs(args[1:], func(readers []io.Reader) error {
				lines, err := logtrace.Trace(args[0], readers...)
				if err != nil {
					return fmt.Errorf("logs not read: %w; pass files with one JSON object a line", err)
				}
				if len(lines) == 0 {
					return fmt.Errorf("no line names request %q; pass the logs of the host that answered it", args[0])
				}
				for _, line := range lines {
					fmt.Fprintln(a.out, line)
				}
				return nil
			})
		},
	}
}

// explainCommand counts how requests ended.
func (a *app) explainCommand() *cobra.Command {
	return &cobra.Command{
		Use: "explain [FILE...]", Short: "Count how requests ended, by reason",
		RunE: func(_ *cobra.Command, args []string) error {
			return a.withLogs(args, func(readers []io.Reader) error {
				endings, err := logtrace.Explain(readers...)
				if err != nil {
					return fmt.Errorf("logs not read: %w; pass files with one JSON object a line", err)
				}
				for _, e := range endings {
					fmt.Fprintf(a.out, "%8d  %d  %-24s %s\n", e.Count, e.Status, e.Reason, e.Run)
				}
				return nil
			})
		},
	}
}

// withLogs opens the files, or uses standard input if none is named.
func (a *app) withLogs(files []string, fn func([]io.Reader) error) error {
	if len(files) == 0 {
		return fn([]io.Reader{a.in})
	}
	var readers []io.Reader
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return fmt.Errorf("%w; pass existing log files", err)
		}
		defer f.Close()
		readers = append(readers, f)
	}
	return fn(readers)
}
