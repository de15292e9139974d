package shell

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"endivehitch/io/hangup"
	"endivehitch/io/shell/cmds"
	"endivehitch/io/shell/exit"
	"endivehitch/io/shell/query"
	"endivehitch/io/shell/start"
)

// Run parses and runs the command line; exit.CodeOf maps its error to the exit code.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) error {
	root := &cli.Command{
		Name:           "endivehitch",
		Usage:          "route requests to versions of models at the lowest cost that meets their quality target",
		Description:    "Start with: endivehitch demo\nEach command explains itself: endivehitch COMMAND --help\nFlags can also be set by the environment variables that their help names.",
		Writer:         stdout,
		ErrWriter:      stderr,
		Commands:       Commands(),
		Before:         restoreHangup,
		Action:         helpOrUsageError,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	reportUsageErrors(root)
	if err := root.Run(ctx, args); err != nil {
		return fmt.Errorf("endivehitch: %w", err)
	}
	return nil
}

// restoreHangup gives SIGHUP its usual effect for commands that don't take it as a request to read settings again.
func restoreHangup(ctx context.Context, c *cli.Command) (context.Context, error) {
	if c.Args().First() == start.EdgeName {
		return ctx, nil
	}
	if err := hangup.Restore(); err != nil {
		return ctx, fmt.Errorf("end for SIGHUP: %w", err)
	}
	return ctx, nil
}

// Commands returns all commands of the program.
func Commands() []*cli.Command {
	return []*cli.Command{
		start.Demo(),
		start.Serve(),
		start.Edge(),
		query.Check(),
		cmds.Apply(),
		cmds.Promote(),
		rollOutCommand(),
		query.Config(),
		query.Status(),
		query.Explain(),
		query.Where(),
		query.Audit(),
	}
}

// rollOutCommand returns the parent of the commands about roll-outs.
func rollOutCommand() *cli.Command {
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

// reportUsageErrors makes the command and its subcommands return exit.UsageError for an invalid
// command line.
func reportUsageErrors(command *cli.Command) {
	command.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return exit.UsageError{Message: err.Error()}
	}
	if len(command.Commands) > 0 && command.Action == nil {
		command.Action = helpOrUsageError
	}
	for _, sub := range command.Commands {
		reportUsageErrors(sub)
	}
}

// helpOrUsageError is the action of a command that has subcommands when none of them was named: it
// prints the help, or returns a usage error if an unknown subcommand was named.
func helpOrUsageError(_ context.Context, c *cli.Command) error {
	if c.Args().Present() {
		return exit.UsageError{Message: fmt.Sprintf("no command %q: see %s --help", c.Args().First(), c.FullName())}
	}
	return cli.ShowSubcommandHelp(c)
}
