package cmds

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"endivehitch/core/value"
	"endivehitch/io/admin/cmds"
	"endivehitch/io/conf"
	"endivehitch/io/shell/exit"
	"endivehitch/io/shell/reach"
)

const flagEnvironment = "environment"

// Apply returns the command that puts a document in force.
func Apply() *cli.Command {
	return &cli.Command{
		Name:      "apply",
		Usage:     "put a document in force in an environment",
		ArgsUsage: "FILE",
		Description: "Checks the document and puts it in the place of the revision that you expect.\n" +
			"If another operator was faster, both changes are shown and the exit code is 4.\n\n" +
			"Example: endivehitch apply --expect 0 examples/vadodara.yaml",
		Flags: reach.WithFlags(append(changeFlags(), environmentFlag("trial"))...),
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Args().Len() != 1 {
				return exit.UsageError{Message: "apply needs one FILE"}
			}
			return apply(ctx, c)
		},
	}
}

func environmentFlag(defaultValue string) cli.Flag {
	return &cli.StringFlag{
		Name: flagEnvironment, Usage: "environment that is changed",
		Value: defaultValue, Sources: cli.EnvVars("ENDIVEHITCH_ENVIRONMENT"),
	}
}

func apply(ctx context.Context, c *cli.Command) error {
	path := c.Args().First()
	data, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("read document: %w", err)
	}
	if _, err := conf.Parse(data); err != nil {
		return fmt.Errorf("check %s:\n%w", path, err)
	}
	client, err := reach.NewClient(c)
	if err != nil {
		return err
	}
	id, err := changeID(c)
	if err != nil {
		return err
	}
	o := cmds.ApplyOrder{
		Environment: value.Environment(c.String(flagEnvironment)),
		Change:      id,
		Expect:      c.Int64(flagExpect),
		Document:    data,
	}
	applied, err := cmds.SendApply(ctx, client, o)
	if err != nil {
		return fmt.Errorf("apply %s: %w", path, err)
	}
	return printApplied(c, o.Environment, applied)
}
