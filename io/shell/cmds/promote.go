package cmds

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"endivehitch/core/value"
	"endivehitch/io/admin/cmds"
	"endivehitch/io/shell/exit"
	"endivehitch/io/shell/reach"
)

const (
	flagFrom   = "from"
	flagTo     = "to"
	flagDigest = "digest"
)

// Promote returns the command that copies the document in force in one environment to another, by
// default from trial to production.
func Promote() *cli.Command {
	flags := append(changeFlags(),
		&cli.StringFlag{Name: flagFrom, Usage: "environment in which the document was accepted", Value: "trial"},
		&cli.StringFlag{Name: flagTo, Usage: "environment that it is moved to", Value: "production"},
		&cli.StringFlag{Name: flagDigest, Usage: "digest that must stand in the first environment (default: whichever does)"},
	)
	return &cli.Command{
		Name:  "promote",
		Usage: "move the document accepted in trial, byte for byte, to production",
		Description: "Moves the very bytes that stand in trial, or refuses with exit code 5.\n\n" +
			"Example: endivehitch promote --expect 0",
		Flags: reach.WithFlags(flags...),
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Args().Present() {
				return exit.UsageError{Message: "promote takes no arguments"}
			}
			return promote(ctx, c)
		},
	}
}

func promote(ctx context.Context, c *cli.Command) error {
	client, err := reach.NewClient(c)
	if err != nil {
		return err
	}
	id, err := changeID(c)
	if err != nil {
		return err
	}
	o := cmds.PromoteOrder{
		From:   value.Environment(c.String(flagFrom)),
		To:     value.Environment(c.String(flagTo)),
		Change: id,
		Expect: c.Int64(flagExpect),
		Digest: c.String(flagDigest),
	}
	applied, err := cmds.SendPromote(ctx, client, o)
	if err != nil {
		return fmt.Errorf("promote: %w", err)
	}
	return printApplied(c, o.To, applied)
}
