package shell

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"endivehitch/io/shell/cmds"
	"endivehitch/io/shell/exit"
	"endivehitch/io/shell/query"
	"endivehitch/io/shell/start"
)

// Run carries out the command line and returns its error, if any; exit.Of gives its exit code.
func Run(ctx context.Context, args []string, out, errs io.Writer) error {
	root := &cli.Command{
		Name:           "endivehitch",
		Usage:          "route requests to versions of models at the lowest cost that meets their quality target",
		Description:    "Start with: endivehitch demo\nEach command explains itself: endivehitch COMMAND --help\nFlags can also be set by the environment variables that their help names.",
		Writer:         out,
		ErrWriter:      errs,
		Commands:       Table(),
		Action:         unknown,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	strict(root)
	if err := root.Run(ctx, args); err != nil {
		return fmt.Errorf("endivehitch: %w", err)
	}
	return nil
}

// Table lists every command.
func Table() []*cli.Command {
	return []*cli.Command{
		start.Demo(),
		start.Serve(),
		start.Edge(),
		query.Check(),
		cmds.Apply(),
		cmds.Promote(),
		rollOut(),
		query.Config(),
		query.Status(),
		query.Explain(),
		query.Audit(),
	}
}

// rollOut gathers the commands about roll-outs.
func rollOut() *cli.Command {
	return &cli.Command{
		Name:  "rollout",
		Usage: "start, advance and withdraw roll-outs, and show where they stand",
		Commands: []*cli.Command{
			cmds.StartRollOut(),
			cmds.AdvanceRollOut(),
			cmds.WithdrawRollOut(),
			query.RollOutStatus(),
		},
	}
}

// strict makes a wrong command line a usage error, for the command and those below it.
func strict(c *cli.Command) {
	c.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return exit.UsageError{What: err.Error()}
	}
	if len(c.Commands) > 0 && c.Action == nil {
		c.Action = unknown
	}
	for _, sub := range c.Commands {
		strict(sub)
	}
}

// unknown is the action of a command that has commands below it and was given none of them.
func unknown(_ context.Context, c *cli.Command) error {
	if c.Args().Present() {
		return exit.UsageError{What: fmt.Sprintf("no command %q: see %s --help", c.Args().First(), c.FullName())}
	}
	return cli.ShowSubcommandHelp(c)
}
