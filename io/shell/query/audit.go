package query

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/urfave/cli/v3"

	"endivehitch/core/value"
	"endivehitch/io/admin/query"
	"endivehitch/io/shell/exit"
	"endivehitch/io/shell/reach"
)

// errMismatch is the error of an audit that found an answered request without a bill, or a bill
// without an answered request.
var errMismatch = errors.New("bills and answered requests differ")

// Audit returns the command that reconciles bills with answered requests.
func Audit() *cli.Command {
	return &cli.Command{
		Name:      "audit",
		Usage:     "sum the bills, and reconcile them with the requests that were answered",
		ArgsUsage: "[FILE]",
		Description: "FILE lists the identifiers of answered requests, one a line, as callers got them in X-Request-Id.\n" +
			"Without it the bills are only summed. Bills reach the key-value service some seconds after their answers.\n\n" +
			"Example: endivehitch audit answered.txt",
		Flags: reach.Flags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Args().Len() > 1 {
				return exit.UsageError{Message: "audit takes one FILE at most"}
			}
			return audit(ctx, c)
		},
	}
}

func audit(ctx context.Context, c *cli.Command) error {
	client, err := reach.NewClient(c)
	if err != nil {
		return err
	}
	path := c.Args().First()
	answered, err := readAnswered(path)
	if err != nil {
		return err
	}
	a, err := query.FetchAudit(ctx, client, answered)
	if err != nil {
		return fmt.Errorf("ask for audit: %w", err)
	}
	out := c.Root().Writer
	if err := printTotals(out, a); err != nil || path == "" {
		return err
	}
	return printDifferences(out, a)
}

func readAnswered(path string) ([]value.RequestID, error) {
	if path == "" {
		return nil, nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read answered requests: %w", err)
	}
	var answered []value.RequestID
	for _, id := range strings.Fields(string(data)) {
		answered = append(answered, value.RequestID(id))
	}
	return answered, nil
}

func printTotals(out io.Writer, a query.Audit) error {
	t := newTable(out)
	fmt.Fprintln(t, "CLIENT ACCOUNT\tCHARGES\tMICRO-UNITS")
	for _, total := range a.Totals {
		fmt.Fprintf(t, "%s\t%d\t%d\n", total.Account, total.Charges, total.CostMicros)
	}
	return t.Flush()
}

func printDifferences(out io.Writer, a query.Audit) error {
	t := newTable(out)
	lists := []struct {
		difference string
		ids        []value.RequestID
	}{
		{"answered without a bill", a.Missing},
		{"billed without an answer", a.Unknown},
		{"kept twice and charged once", a.Duplicated},
	}
	for _, l := range lists {
		for _, id := range l.ids {
			fmt.Fprintf(t, "%s\t%s\n", l.difference, id)
		}
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("print differences: %w", err)
	}
	if len(a.Missing)+len(a.Unknown) > 0 {
		return errMismatch
	}
	return nil
}
