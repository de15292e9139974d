package query

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	core "endivehitch/core/query"
	"endivehitch/core/value"
	"endivehitch/io/admin/query"
	"endivehitch/io/shell/reach"
)

// Status returns the command that shows which instance has which revision of the configuration.
func Status() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show which instance has which configuration revision, and for how long it has lagged",
		Description: "Shows the fleet as the asked instance sees it.\n\n" +
			"Example: endivehitch status --instance http://127.0.0.1:7701",
		Flags: reach.Flags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			s, err := askStatus(ctx, c)
			if err != nil {
				return err
			}
			return printFleet(c.Root().Writer, s)
		},
	}
}

// RollOutStatus returns the command that shows the phase and stage of each roll-out.
func RollOutStatus() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show where each roll-out stands",
		Flags: reach.Flags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			s, err := askStatus(ctx, c)
			if err != nil {
				return err
			}
			return printRollOuts(c.Root().Writer, s.RollOuts)
		},
	}
}

func askStatus(ctx context.Context, c *cli.Command) (core.Status, error) {
	client, err := reach.NewClient(c)
	if err != nil {
		return core.Status{}, err
	}
	s, err := query.FetchStatus(ctx, client)
	if err != nil {
		return core.Status{}, fmt.Errorf("ask for status: %w", err)
	}
	return s, nil
}

// columnGap is the space between columns in characters.
const columnGap = 2

func newTable(out io.Writer) *tabwriter.Writer {
	return tabwriter.NewWriter(out, 0, 0, columnGap, ' ', 0)
}

func printFleet(out io.Writer, s core.Status) error {
	digest := s.Digest
	if digest == "" {
		digest = "none"
	}
	t := newTable(out)
	fmt.Fprintf(t, "asked instance %s: revision %d of %d known, digest %s\n", s.Self, s.Revision, s.Newest, digest)
	fmt.Fprintln(t, "INSTANCE\tFAILURE DOMAIN\tSTATE\tREVISION\tDIGEST\tLAG\tSILENT")
	for _, f := range s.Fleet {
		i := f.Instance
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%.12s\t%v\t%v\n",
			i.ID, i.FailureDomain, i.State, i.Revision, i.Digest, f.Lag.Round(time.Millisecond), f.SinceLastContact.Round(time.Millisecond))
	}
	return t.Flush()
}

func printRollOuts(out io.Writer, list []value.Progress) error {
	t := newTable(out)
	fmt.Fprintln(t, "ROLL-OUT\tPHASE\tSTAGE\tSINCE\tREASON")
	for _, p := range list {
		since := "-"
		if !p.Since.IsZero() {
			since = p.Since.UTC().Format(time.RFC3339)
		}
		fmt.Fprintf(t, "%s\t%s\t%d\t%s\t%s\n", p.Name, p.Phase, p.Stage, since, p.Reason)
	}
	return t.Flush()
}
