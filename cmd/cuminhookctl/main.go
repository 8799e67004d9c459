// Command cuminhookctl is the operators' tool: it sends change tickets and shows what is in force.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"cuminhook.org/cuminhook/lib/adminapi"
	"cuminhook.org/cuminhook/lib/refusal"
)

// Exit codes, documented in the help.
const (
	exitOther       = 1
	exitUsage       = 2
	exitInvalid     = 3
	exitConflict    = 4
	exitUnknown     = 5
	exitUnavailable = 6
	exitNotInForce  = 7
	exitNotFound    = 8
	exitToken       = 9
)

const help = `cuminhookctl sends change tickets and shows what is in force.

A ticket is a YAML or JSON file with a number that no other ticket has and the complete new state of every
object it touches. Sending the same ticket again is always safe.

Exit codes:
  0  done
  1  other error
  2  wrong usage
  3  the ticket is invalid or too large; it was not accepted
  4  the ticket conflicts with another one (number reused, superseded or too old); it was not accepted
  5  outcome unknown; send the same ticket again
  6  service unavailable; the ticket was not accepted, send it again later
  7  accepted, but not in force on every host when --timeout ended
  8  no such object or ticket
  9  operator token missing or wrong

'config check' has exit codes of its own; see its help.`

// errNotInForce is returned when --wait times out before every host has the ticket in force.
var errNotInForce = errors.New(
	"the ticket is accepted, but some hosts lack it or are unreachable; run 'cuminhookctl tickets NUMBER'",
)

// usageError marks an error in the command line, which exits with exitUsage.
type usageError struct{ error }

// app holds the streams and global flags that all commands share.
type app struct {
	out       io.Writer
	errOut    io.Writer
	in        io.Reader
	api       string
	tokenFile string
	format    string
}

func main() {
	a := &app{out: os.Stdout, errOut: os.Stderr, in: os.Stdin}
	os.Exit(a.run(os.Args[1:]))
}

// run executes one command line and returns the exit code.
func (a *app) run(args []string) int {
	root := a.root()
	root.SetArgs(args)
	err := root.Execute()
	if code := (codeError{}); err != nil && !(errors.As(err, &code) && code.error == nil) {
		fmt.Fprintln(a.errOut, err)
	}
	return exitCode(err)
}

func (a *app) root() *cobra.Command {
	root := &cobra.Command{
		Use: "cuminhookctl", Short: "Send change tickets and show what is in force", Long: help,
		Example: "  cuminhookctl diff ticket.yaml\n" +
			"  cuminhookctl apply ticket.yaml --wait\n" +
			"  cuminhookctl get organisations acme -o yaml",
		Args: rejectUnknownCommand, RunE: showHelp, SilenceUsage: true, SilenceErrors: true,
		PersistentPreRunE: func(*cobra.Command, []string) error {
			switch a.format {
			case "table", "json", "yaml":
				return nil
			}
			return usageError{fmt.Errorf("unknown output format %q; use table, json or yaml", a.format)}
		},
	}
	root.SetOut(a.out)
	root.SetErr(a.errOut)
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	flags := root.PersistentFlags()
	flags.StringVar(&a.api, "api", envOr("CUMINHOOK_API", "http://127.0.0.1:7300"), "address of the administration API (CUMINHOOK_API)")
	flags.StringVar(&a.tokenFile, "token-file", "", "file with the operator token (otherwise CUMINHOOK_TOKEN)")
	flags.StringVarP(&a.format, "output", "o", "table", "table, json or yaml")
	root.AddCommand(a.applyCommand(), a.validateCommand(), a.diffCommand(), a.getCommand(), a.ticketsCommand(),
		a.membersCommand(), a.keysCommand(), a.traceCommand(), a.explainCommand(), a.configCommand())
	return root
}

// rejectUnknownCommand reports an unknown subcommand as a usage error.
func rejectUnknownCommand(c *cobra.Command, args []string) error {
	if len(args) > 0 {
		return usageError{fmt.Errorf("unknown command %q; see '%s --help'", args[0], c.CommandPath())}
	}
	return nil
}

func showHelp(c *cobra.Command, _ []string) error { return c.Help() }

func envOr(name, fallback string) string {
	if v := os.Getenv(name); v != "" {
		return v
	}
	return fallback
}

// client returns an API client with the operator token of --token-file or CUMINHOOK_TOKEN.
func (a *app) client() (*adminapi.Client, error) {
	token := os.Getenv("CUMINHOOK_TOKEN")
	if a.tokenFile != "" {
		data, err := os.ReadFile(a.tokenFile)
		if err != nil {
			return nil, usageError{fmt.Errorf("cannot read the token: %w; pass a readable file with --token-file", err)}
		}
		token = trimLine(data)
	}
	c, err := adminapi.NewClient(a.api, token)
	if err != nil {
		return nil, usageError{err}
	}
	return c, nil
}

// argCount reports a number of arguments outside minArgs to maxArgs as a usage error.
func argCount(minArgs, maxArgs int) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if err := cobra.RangeArgs(minArgs, maxArgs)(c, args); err != nil {
			return usageError{fmt.Errorf("%w; see 'cuminhookctl %s --help'", err, c.Name())}
		}
		return nil
	}
}

func exitCode(err error) int {
	var usage usageError
	var code codeError
	r, refused := refusal.As(err)
	switch {
	case err == nil:
		return 0
	case errors.As(err, &code):
		return code.code
	case errors.As(err, &usage):
		return exitUsage
	case errors.Is(err, errNotInForce):
		return exitNotInForce
	case !refused:
		return exitOther
	}
	switch r.Reason {
	case refusal.TicketInvalid, refusal.TicketTooLarge:
		return exitInvalid
	case refusal.NumberReused, refusal.Superseded, refusal.NumberTooOld:
		return exitConflict
	case refusal.OutcomeUnknown:
		return exitUnknown
	case refusal.StoreUnavailable, refusal.NoMajority:
		return exitUnavailable
	case refusal.NotFound:
		return exitNotFound
	case refusal.KeyMissing:
		return exitToken
	}
	return exitOther
}
