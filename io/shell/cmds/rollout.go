package cmds

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"endivehitch/core/steps"
	"endivehitch/core/value"
	"endivehitch/io/admin/cmds"
	"endivehitch/io/shell/exit"
	"endivehitch/io/shell/reach"
)

// rollOutOptions describes a command that changes a roll-out's progress.
type rollOutOptions struct {
	name        string
	usage       string
	description string
	verb        steps.Verb
	flags       []cli.Flag
}

func rollOutCommand(o rollOutOptions) *cli.Command {
	return &cli.Command{
		Name:        o.name,
		Usage:       o.usage,
		ArgsUsage:   "ROLL-OUT",
		Description: o.description + "\n\nA repeated order changes nothing once its aim is reached.",
		Flags:       reach.WithFlags(append(o.flags, environmentFlag("trial"))...),
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Args().Len() != 1 {
				return exit.UsageError{Message: o.name + " needs the name of one ROLL-OUT"}
			}
			return sendRollOut(ctx, c, o.verb)
		},
	}
}

func sendRollOut(ctx context.Context, c *cli.Command, verb steps.Verb) error {
	client, err := reach.NewClient(c)
	if err != nil {
		return err
	}
	order := cmds.RollOutOrder{
		Environment: value.Environment(c.String(flagEnvironment)),
		Name:        value.RollOutName(c.Args().First()),
		Order:       steps.Order{Verb: verb, Stage: c.Int(flagStage)},
	}
	progress, err := cmds.SendRollOut(ctx, client, order)
	if err != nil {
		return fmt.Errorf("change roll-out: %w", err)
	}
	_, err = fmt.Fprintf(c.Root().Writer, "%s: roll-out %s is in phase %s at stage %d\n", order.Environment, progress.Name, progress.Phase, progress.Stage)
	return err
}
