package main

import (
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"cuminhook.org/cuminhook/lib/adminapi"
	"cuminhook.org/cuminhook/lib/ticket"
)

// pollInterval is the time between polls of a ticket's status with --wait; hosts report their revisions every 500 ms.
const pollInterval = 250 * time.Millisecond

// waitFlags are the flags of commands that can wait until a ticket is in force.
type waitFlags struct {
	wait    bool
	timeout time.Duration
}

func (w *waitFlags) register(c *cobra.Command) {
	c.Flags().BoolVar(&w.wait, "wait", false, "wait until every host has the ticket in force")
	c.Flags().DurationVar(&w.timeout, "timeout", 10*time.Second, "longest time to wait")
}

func (a *app) applyCommand() *cobra.Command {
	var w waitFlags
	c := &cobra.Command{
		Use: "apply FILE", Short: "Send a ticket",
		Long:    "Send a ticket. FILE is YAML or JSON; - reads standard input.",
		Example: "  cuminhookctl apply ticket.yaml --wait\n  generate-ticket | cuminhookctl apply -",
		Args:    argCount(1, 1),
		RunE: func(_ *cobra.Command, args []string) error {
			t, err := a.readTicket(args[0])
			if err != nil {
				return err
			}
			return a.sendTicket(t, w)
		},
	}
	w.register(c)
	return c
}

// sendTicket sends a ticket and prints the receipt or, with --wait, the ticket's status on each host.
func (a *app) sendTicket(t *ticket.Ticket, w waitFlags) error {
	client, err := a.client()
	if err != nil {
		return err
	}
	receipt, err := client.Apply(t.Encode())
	if err != nil {
		return err
	}
	if !w.wait {
		return a.print(receipt, func(out io.Writer) {
			fmt.Fprintln(out, "TICKET\tREVISION\tREPEATED\tSHA256")
			fmt.Fprintf(out, "%d\t%d\t%v\t%s\n", receipt.Number, receipt.Revision, receipt.Repeated, receipt.SHA256)
		})
	}
	status, waitErr := waitInForce(client, t.Number, w.timeout)
	if err := a.printStatus(status); err != nil {
		return err
	}
	return waitErr
}

// waitInForce polls the status of an accepted ticket until it is in force on every host, and returns the last status.
// After timeout it returns errNotInForce.
func waitInForce(client *adminapi.Client, number int64, timeout time.Duration) (adminapi.TicketStatus, error) {
	deadline := time.Now().Add(timeout)
	last := adminapi.TicketStatus{Number: number}
	for {
		status, err := client.Ticket(number)
		if err == nil {
			last = status
		}
		if err == nil && status.Everywhere {
			return last, nil
		}
		if !time.Now().Add(pollInterval).Before(deadline) {
			return last, errNotInForce
		}
		time.Sleep(pollInterval)
	}
}

func (a *app) validateCommand() *cobra.Command {
	return &cobra.Command{
		Use: "validate FILE", Short: "Check a ticket without sending it",
		Long: "Check form and fields of a ticket without the API. References to other objects are checked by diff.",
		Args: argCount(1, 1), Example: "  cuminhookctl validate ticket.yaml",
		RunE: func(_ *cobra.Command, args []string) error {
			t, err := a.readTicket(args[0])
			if err != nil {
				return err
			}
			out := struct {
				Number int64  `json:"number"`
				SHA256 string `json:"sha256"`
			}{t.Number, t.Hash()}
			return a.print(out, func(w io.Writer) { fmt.Fprintf(w, "ticket %d is valid\n", t.Number) })
		},
	}
}

func (a *app) diffCommand() *cobra.Command {
	return &cobra.Command{
		Use: "diff FILE", Short: "Show what a ticket would change",
		Long: "Check a ticket against what is in force and show what it would change. Nothing is written.",
		Args: argCount(1, 1), Example: "  cuminhookctl diff ticket.yaml",
		RunE: func(_ *cobra.Command, args []string) error {
			t, err := a.readTicket(args[0])
			if err != nil {
				return err
			}
			client, err := a.client()
			if err != nil {
				return err
			}
			d, err := client.Diff(t.Encode())
			if err != nil {
				return err
			}
			return a.print(d, func(w io.Writer) {
				if d.Repeated {
					fmt.Fprintf(w, "ticket %d is accepted already\n", d.Number)
					return
				}
				fmt.Fprintln(w, "CHANGE\tOBJECT\tBEFORE\tAFTER")
				for _, c := range d.Changes {
					fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", changeKind(c), c.Ref, compactJSON(c.Before), compactJSON(c.After))
				}
			})
		},
	}
}

func changeKind(c ticket.Change) string {
	switch {
	case c.Before == nil:
		return "create"
	case c.After == nil:
		return "delete"
	case compactJSON(c.Before) == compactJSON(c.After):
		return "same"
	}
	return "change"
}

func (a *app) ticketsCommand() *cobra.Command {
	return &cobra.Command{
		Use: "tickets NUMBER", Short: "Show whether a ticket is accepted, and on which hosts it is in force",
		Args: argCount(1, 1), Example: "  cuminhookctl tickets 4711",
		RunE: func(_ *cobra.Command, args []string) error {
			number, err := strconv.ParseInt(args[0], 10, 64)
			if err != nil {
				return usageError{fmt.Errorf("%q is not a ticket number; pass a positive whole number", args[0])}
			}
			client, err := a.client()
			if err != nil {
				return err
			}
			status, err := client.Ticket(number)
			if err != nil {
				return err
			}
			return a.printStatus(status)
		},
	}
}

func (a *app) printStatus(s adminapi.TicketStatus) error {
	return a.print(s, func(w io.Writer) {
		if !s.Accepted {
			fmt.Fprintf(w, "ticket %d is not accepted (as of revision %d, %s)\n", s.Number, s.AsOf, s.Status)
			return
		}
		fmt.Fprintf(w, "ticket %d is accepted at revision %d, in force everywhere: %v\n", s.Number, s.Revision, s.Everywhere)
		printMembers(w, s.Members)
	})
}

func (a *app) membersCommand() *cobra.Command {
	return &cobra.Command{
		Use: "members", Short: "List the hosts", Args: argCount(0, 0), Example: "  cuminhookctl members",
		RunE: func(*cobra.Command, []string) error {
			client, err := a.client()
			if err != nil {
				return err
			}
			members, err := client.Members()
			if err != nil {
				return err
			}
			return a.print(members, func(w io.Writer) { printMembers(w, members) })
		},
	}
}

func printMembers(w io.Writer, members []adminapi.Member) {
	fmt.Fprintln(w, "HOST\tROLE\tZONE\tSTATUS\tLEAVING\tREVISION\tAGE\tHAS IT")
	for _, m := range members {
		age := time.Duration(m.AgeMS) * time.Millisecond
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%v\t%d\t%v\t%s\n", m.ID, m.Role, m.Zone, m.Status, m.Leaving, m.Revision, age, m.Has)
	}
}

func (a *app) readTicket(path string) (*ticket.Ticket, error) {
	in := a.in
	if path != "-" {
		file, err := os.Open(path)
		if err != nil {
			return nil, usageError{fmt.Errorf("cannot read the ticket: %w; pass a readable file, or - for standard input", err)}
		}
		defer file.Close()
		in = file
	}
	data, err := io.ReadAll(io.LimitReader(in, ticket.MaxBytes+1))
	if err != nil {
		return nil, usageError{fmt.Errorf("cannot read the ticket: %w; pass a readable file, or - for standard input", err)}
	}
	return ticket.Parse(data)
}

func trimLine(data []byte) string { return strings.TrimSpace(string(data)) }
