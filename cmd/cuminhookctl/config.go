package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"cuminhook.org/cuminhook/lib/configcheck"
	"cuminhook.org/cuminhook/platform"
)

// Exit codes of 'config check', which pipelines read.
const (
	exitCheckErrors   = 1
	exitCheckWarnings = 2
	exitCheckUsage    = 3
)

// codeError is an error with an exit code of its own. It may hold no error, if all is printed already.
type codeError struct {
	error
	code int
}

// Error implements error.
func (e codeError) Error() string {
	if e.error == nil {
		return fmt.Sprintf("exit code %d", e.code)
	}
	return e.error.Error()
}

// configCommand groups the commands for configurations of entry hosts.
func (a *app) configCommand() *cobra.Command {
	c := &cobra.Command{
		Use: "config", Short: "Check a configuration of entry hosts", Args: rejectUnknownCommand, RunE: showHelp,
	}
	c.AddCommand(a.configCheckCommand())
	return c
}

func (a *app) configCheckCommand() *cobra.Command {
	var against string
	usage := func(err error) error {
		return codeError{fmt.Errorf("%w; see 'cuminhookctl config check --help'", err), exitCheckUsage}
	}
	c := &cobra.Command{
		Use: "check FILE", Short: "Report mistakes in a configuration, and what it changes",
		Long: "Reports errors, entries that can never match and limits that contradict each other.\n\n" +
			"Exit codes: 0 no findings, 1 errors, 2 warnings only, 3 wrong usage.",
		Example: "  cuminhookctl config check new.json --against current.json -o json",
		Args: func(_ *cobra.Command, args []string) error {
			if len(args) != 1 {
				return usage(fmt.Errorf("pass one file, not %d", len(args)))
			}
			return nil
		},
		RunE: func(_ *cobra.Command, args []string) error {
			if a.format == "yaml" {
				return usage(errors.New("the output is table or json"))
			}
			report, err := checkConfig(args[0], against)
			if err != nil {
				return usage(err)
			}
			return a.printCheck(report)
		},
	}
	c.Flags().StringVar(&against, "against", "", "file with the configuration in force, to which the differences are shown")
	c.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usage(err) })
	return c
}

// checkReport is the result of 'config check'.
type checkReport struct {
	Findings []configcheck.Finding `json:"findings"`
	Changes  []configcheck.Change  `json:"changes,omitempty"` // only with a file to compare with
}

// checkConfig checks a file and compares it with another one, unless its name is empty. Its errors are files that can't be used.
func checkConfig(file, against string) (report checkReport, err error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return report, err
	}
	c, findings := platform.CheckConfig(data)
	report.Findings = append([]configcheck.Finding{}, findings...)
	if against == "" {
		return report, nil
	}
	if data, err = os.ReadFile(against); err != nil {
		return report, err
	}
	before, err := platform.DecodeConfig(data)
	if err != nil {
		return report, fmt.Errorf("%s: %w", against, err)
	}
	if c != nil {
		report.Changes = configcheck.Compare(before, c)
		report.Findings = append(report.Findings, configcheck.CheckSuccessor(before, c)...)
	}
	return report, nil
}

// printCheck prints a report. The error states the exit code.
func (a *app) printCheck(report checkReport) error {
	code := 0
	for _, f := range report.Findings {
		if f.Level == configcheck.Error {
			code = exitCheckErrors
		} else if code == 0 {
			code = exitCheckWarnings
		}
	}
	if a.format == "json" {
		e := json.NewEncoder(a.out)
		e.SetIndent("", "  ")
		if err := e.Encode(report); err != nil {
			return err
		}
	} else {
		for _, f := range report.Findings {
			if f.Line > 0 {
				fmt.Fprintf(a.out, "line %d: ", f.Line)
			}
			fmt.Fprintf(a.out, "%s: %s: %s; %s\n", f.Level, f.Entry, f.Problem, f.Remedy)
		}
		for _, c := range report.Changes {
			if c.Field == "" {
				fmt.Fprintf(a.out, "%s %s\n", c.Entry, c.After)
			} else {
				fmt.Fprintf(a.out, "%s: %s from %s to %s\n", c.Entry, c.Field, c.Before, c.After)
			}
		}
	}
	if code == 0 {
		return nil
	}
	return codeError{code: code}
}
