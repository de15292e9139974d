package query

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"endivehitch/io/conf"
	"endivehitch/io/shell/exit"
)

// Check returns the command that names every fault of a document.
func Check() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check a document and name every fault by path and line",
		ArgsUsage: "FILE",
		Description: "Reads a YAML or JSON document and prints its digest if it is sound.\n" +
			"Otherwise each fault is printed on a line of its own and the exit code is 3.\n\n" +
			"Example: endivehitch check examples/vadodara.yaml",
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() != 1 {
				return exit.UsageError{What: "check needs one FILE"}
			}
			return check(c)
		},
	}
}

func check(c *cli.Command) error {
	path := c.Args().First()
	data, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("read document: %w", err)
	}
	d, err := conf.Parse(data)
	if err != nil {
		return fmt.Errorf("check %s:\n%w", path, err)
	}
	_, err = fmt.Fprintf(c.Root().Writer, "%s is sound (client accounts: %d, models: %d, kinds: %d, roll-outs: %d)\ndigest %s\n",
		path, len(d.ClientAccounts), len(d.Models), len(d.Kinds), len(d.RollOuts), conf.Digest(data))
	return err
}
