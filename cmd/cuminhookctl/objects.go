package main

import (
	"crypto/rand"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/goccy/go-yaml"
	"github.com/spf13/cobra"

	"cuminhook.org/cuminhook/lib/adminapi"
	"cuminhook.org/cuminhook/lib/refusal"
	"cuminhook.org/cuminhook/lib/ticket"
)

// keyBytes is the number of random bytes in a key; 32 make guessing pointless.
const keyBytes = 32

func (a *app) getCommand() *cobra.Command {
	return &cobra.Command{
		Use: "get KIND [NAME]", Short: "Show objects in force and the tickets that wrote them",
		Long:    "Show objects in force. KIND is " + strings.Join(kindNames(), ", ") + " or all.",
		Args:    argCount(1, 2),
		Example: "  cuminhookctl get all\n  cuminhookctl get models\n  cuminhookctl get organisation acme -o yaml",
		RunE: func(_ *cobra.Command, args []string) error {
			kinds, err := kindPathSegment(args[0])
			if err != nil {
				return err
			}
			client, err := a.client()
			if err != nil {
				return err
			}
			if len(args) == 2 {
				if kinds == "state" {
					return usageError{fmt.Errorf("a name needs a kind; use one of %s", strings.Join(kindNames(), ", "))}
				}
				o, err := client.Object(kinds, args[1])
				if err != nil {
					return err
				}
				return a.print(o, func(w io.Writer) { printObjects(w, []adminapi.Object{o}) })
			}
			s, err := client.State(kinds)
			if err != nil {
				return err
			}
			return a.print(s, func(w io.Writer) {
				fmt.Fprintf(w, "revision %d, %s\n", s.Revision, s.Status)
				printObjects(w, s.Objects)
			})
		},
	}
}

func kindNames() []string {
	var names []string
	for _, k := range ticket.Kinds() {
		names = append(names, string(k)+"s")
	}
	return names
}

// kindPathSegment returns the API path segment of a kind, which may be given in singular or plural, or "state" for all.
func kindPathSegment(arg string) (string, error) {
	if arg == "all" {
		return "state", nil
	}
	plural := strings.TrimSuffix(arg, "s") + "s"
	if !slices.Contains(kindNames(), plural) {
		return "", usageError{fmt.Errorf("unknown kind %q; use one of %s, all", arg, strings.Join(kindNames(), ", "))}
	}
	return plural, nil
}

func printObjects(w io.Writer, objects []adminapi.Object) {
	fmt.Fprintln(w, "KIND\tNAME\tTICKET\tVALUE")
	for _, o := range objects {
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\n", o.Kind, o.Name, o.Ticket, compactJSON(o.Value))
	}
}

// compactJSON returns v as one line of JSON, or an empty string for nil.
func compactJSON(v any) string {
	if v == nil {
		return ""
	}
	data, err := json.Marshal(v)
	if err != nil {
		return err.Error()
	}
	return string(data)
}

func (a *app) keysCommand() *cobra.Command {
	c := &cobra.Command{Use: "keys", Short: "Create and withdraw keys of callers", Args: rejectUnknownCommand, RunE: showHelp}
	c.AddCommand(a.createKeyCommand(), a.withdrawKeyCommand())
	return c
}

func (a *app) createKeyCommand() *cobra.Command {
	var w waitFlags
	var number int64
	var organisation string
	c := &cobra.Command{
		Use: "create NAME", Short: "Create a key and send the ticket that puts it in force",
		Long: "Create a key and send the ticket that puts it in force. The key is shown once and not kept: the\n" +
			"ticket holds only its SHA-256. A key of the same name is replaced.",
		Args:    argCount(1, 1),
		Example: "  cuminhookctl keys create acme-2 --organisation acme --number 4711",
		RunE: func(_ *cobra.Command, args []string) error {
			key := newKey()
			t := &ticket.Ticket{Number: number, Keys: []ticket.Key{{
				Name: args[0], Organisation: organisation, SHA256: ticket.HashBytes([]byte(key)),
			}}}
			if err := t.Validate(); err != nil {
				return err
			}
			return a.sendKey(t, key, w)
		},
	}
	c.Flags().Int64Var(&number, "number", 0, "number of the ticket")
	c.Flags().StringVar(&organisation, "organisation", "", "organisation that the key belongs to")
	w.register(c)
	return c
}

// createdKey is the output of keys create.
type createdKey struct {
	Name     string `json:"name"`
	Key      string `json:"key"`
	Ticket   int64  `json:"ticket"`
	Accepted bool   `json:"accepted"` // false: outcome unknown
}

// sendKey sends the ticket of a new key and prints the key unless the ticket was certainly refused.
func (a *app) sendKey(t *ticket.Ticket, key string, w waitFlags) error {
	client, err := a.client()
	if err != nil {
		return err
	}
	_, err = client.Apply(t.Encode())
	if r, ok := refusal.As(err); ok && r.Run != refusal.RunUnknown {
		return err
	}
	if err != nil {
		fmt.Fprintf(a.errOut, "The outcome is unknown. Send this ticket with 'cuminhookctl apply -':\n%s\n", t.Encode())
	}
	out := createdKey{t.Keys[0].Name, key, t.Number, err == nil}
	printErr := a.print(out, func(w io.Writer) {
		fmt.Fprintln(w, "NAME\tTICKET\tKEY (shown once)")
		fmt.Fprintf(w, "%s\t%d\t%s\n", out.Name, out.Ticket, out.Key)
	})
	if err == nil && w.wait {
		_, err = waitInForce(client, t.Number, w.timeout)
	}
	return errors.Join(err, printErr)
}

// newKey returns a random key.
func newKey() string {
	random := make([]byte, keyBytes)
	_, _ = rand.Read(random) // never fails, see crypto/rand
	return "ch_" + base64.RawURLEncoding.EncodeToString(random)
}

func (a *app) withdrawKeyCommand() *cobra.Command {
	var w waitFlags
	var number int64
	c := &cobra.Command{
		Use: "withdraw NAME", Short: "Withdraw a key; it stops working within seconds, also for open streams",
		Args:    argCount(1, 1),
		Example: "  cuminhookctl keys withdraw acme-1 --number 4712 --wait",
		RunE: func(_ *cobra.Command, args []string) error {
			t := &ticket.Ticket{Number: number, Delete: []ticket.Ref{{Kind: ticket.KindKey, Name: args[0]}}}
			if err := t.Validate(); err != nil {
				return err
			}
			return a.sendTicket(t, w)
		},
	}
	c.Flags().Int64Var(&number, "number", 0, "number of the ticket")
	w.register(c)
	return c
}

// print writes v in the chosen format; table writes its rows, with tabs between the columns.
func (a *app) print(v any, table func(io.Writer)) error {
	if a.format == "table" {
		w := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
		table(w)
		return w.Flush()
	}
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return fmt.Errorf("cannot print the answer: %w", err)
	}
	if a.format == "yaml" {
		if data, err = yaml.JSONToYAML(data); err != nil {
			return fmt.Errorf("cannot print the answer: %w", err)
		}
	}
	_, err = fmt.Fprintln(a.out, strings.TrimSpace(string(data)))
	return err
}
