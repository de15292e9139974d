package query

import (
	"context"
	"fmt"
	"os"
	"path/filepath"

	"github.com/urfave/cli/v3"

	"endivehitch/io/conf"
	"endivehitch/io/shell/exit"
	"endivehitch/platform/boot"
)

// Check returns the command that validates a document or the platform's settings file.
func Check() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check a document, or the platform's settings, and name what is wrong",
		ArgsUsage: "FILE",
		Description: "Reads a YAML or JSON document and prints its digest if it is sound.\n" +
			"Otherwise each fault is printed on a line of its own and the exit code is 3.\n" +
			"A file that ends in .toml is checked as the settings file of the edge command.\n\n" +
			"Example: endivehitch check examples/vadodara.yaml",
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() != 1 {
				return exit.UsageError{Message: "check needs one FILE"}
			}
			return check(c)
		},
	}
}

// settingsExtension is the extension of the platform's settings files; any other file is a document.
const settingsExtension = ".toml"

func checkSettings(c *cli.Command, path string) error {
	s, _, err := boot.Read(path)
	if err != nil {
		return fmt.Errorf("check %s: %w", path, err)
	}
	_, err = fmt.Fprintf(c.Root().Writer, "%s is sound (instance %s in %s, store %s)\n", path, s.Self.Name, s.Self.Domain, s.Store)
	return err
}

func check(c *cli.Command) error {
	path := c.Args().First()
	if filepath.Ext(path) == settingsExtension {
		return checkSettings(c, path)
	}
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
