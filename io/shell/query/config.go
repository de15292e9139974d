package query

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/urfave/cli/v3"

	core "endivehitch/core/query"
	"endivehitch/core/value"
	"endivehitch/io/admin/query"
	"endivehitch/io/shell/reach"
)

const (
	flagEnvironment = "environment"
	flagBytes       = "bytes"
)

// Config returns the command that shows an environment's document, or its revision, last change and
// digest.
func Config() *cli.Command {
	return &cli.Command{
		Name:  "config",
		Usage: "show the accepted document of an environment with its revision",
		Description: "Shows the revision that apply and promote expect, who made the change and the digest.\n\n" +
			"Example: endivehitch config --environment production --bytes > production.yaml",
		Flags: reach.WithFlags(
			&cli.StringFlag{
				Name: flagEnvironment, Usage: "environment that is shown",
				Value: "trial", Sources: cli.EnvVars("ENDIVEHITCH_ENVIRONMENT"),
			},
			&cli.BoolFlag{Name: flagBytes, Usage: "print the document's bytes and nothing else"},
		),
		Action: showConfig,
	}
}

func showConfig(ctx context.Context, c *cli.Command) error {
	client, err := reach.NewClient(c)
	if err != nil {
		return err
	}
	environment := value.Environment(c.String(flagEnvironment))
	record, err := query.FetchConfig(ctx, client, environment)
	if err != nil {
		return fmt.Errorf("ask for document: %w", err)
	}
	if c.Bool(flagBytes) {
		_, err := c.Root().Writer.Write(record.Bytes)
		return err
	}
	current := record.Current
	_, err = fmt.Fprintf(c.Root().Writer, "%s: revision %d, change %s by %s at %s\ndigest %s\n",
		environment, current.Revision, current.Change.ID, current.Change.Who, current.Change.At.UTC().Format(time.RFC3339), current.Change.Digest)
	return err
}

// PrintExplanation prints the lines of an explanation and what the request cost in all.
func PrintExplanation(out io.Writer, explanation core.Explanation) error {
	for _, line := range explanation.Lines {
		if _, err := fmt.Fprintln(out, line); err != nil {
			return fmt.Errorf("print explanation: %w", err)
		}
	}
	total := "It was not billed."
	if explanation.Billed {
		total = fmt.Sprintf("It cost %d micro-units in all.", explanation.CostMicros)
	}
	_, err := fmt.Fprintln(out, total)
	return err
}
