package shell

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"
)

// Run carries out the command line and returns its error, if any.
func Run(ctx context.Context, args []string, out, errs io.Writer) error {
	root := &cli.Command{
		Name:      "endivehitch",
		Usage:     "route requests to versions of models at the lowest cost that meets their quality target",
		Writer:    out,
		ErrWriter: errs,
		Commands:  table(),
	}
	if err := root.Run(ctx, args); err != nil {
		return fmt.Errorf("endivehitch: %w", err)
	}
	return nil
}

// table lists every command.
func table() []*cli.Command {
	return []*cli.Command{
		demoCommand(),
	}
}
