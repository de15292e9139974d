package query

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"endivehitch/core/value"
	"endivehitch/io/admin/query"
	"endivehitch/io/shell/exit"
	"endivehitch/io/shell/reach"
)

// Explain returns the command that explains the routing of a request by the decisions that an
// instance or a log file has about it.
func Explain() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "say why a request went where it went, what else was considered, and what it cost",
		ArgsUsage: "REQUEST",
		Description: "REQUEST is the identifier that the caller got in X-Request-Id. The asked instance finds the one\n" +
			"that served it; each keeps its latest decisions only.\n\n" +
			"Example: endivehitch explain 5a0f8c36-4a0b-4a63-9a43-1c1d1c1f0d4e",
		Flags: append(reach.Flags(), &cli.StringFlag{
			Name: flagLog, Usage: "log file to read the decisions from, in place of asking an instance",
			Sources: cli.EnvVars("ENDIVEHITCH_LOG"),
		}),
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Args().Len() != 1 {
				return exit.UsageError{Message: "explain needs one REQUEST"}
			}
			return explain(ctx, c)
		},
	}
}

const flagLog = "log"

func explain(ctx context.Context, c *cli.Command) error {
	if path := c.String(flagLog); path != "" {
		return explainLog(c.Root().Writer, path, c.Args().First())
	}
	client, err := reach.NewClient(c)
	if err != nil {
		return err
	}
	explanation, err := query.FetchExplanation(ctx, client, value.RequestID(c.Args().First()))
	if err != nil {
		return fmt.Errorf("explain request: %w", err)
	}
	return PrintExplanation(c.Root().Writer, explanation)
}
