package cmds

import (
	"fmt"

	"github.com/google/uuid"
	"github.com/urfave/cli/v3"

	"endivehitch/core/value"
)

const (
	flagChange = "change"
	flagExpect = "expect"
)

// changeFlags returns the flags of every command that changes a document.
func changeFlags() []cli.Flag {
	return []cli.Flag{
		&cli.Int64Flag{
			Name: flagExpect, Required: true,
			Usage: "revision that you have seen and mean to replace, as config prints it; 0 for the first document",
		},
		changeFlag(),
	}
}

func changeFlag() cli.Flag {
	return &cli.StringFlag{
		Name:  flagChange,
		Usage: "identifier of the change; repeat the one of an order whose outcome is unknown (default: a new one)",
	}
}

// changeID returns the change identifier from the flags, or a new one if they have none. It prints the
// identifier before the order is sent, so that the operator can retry the order if no answer comes.
func changeID(c *cli.Command) (value.ChangeID, error) {
	id := c.String(flagChange)
	if id == "" {
		id = uuid.NewString()
	}
	if _, err := fmt.Fprintf(c.Root().Writer, "change %s\n", id); err != nil {
		return "", fmt.Errorf("print change identifier: %w", err)
	}
	return value.ChangeID(id), nil
}

func printApplied(c *cli.Command, e value.Environment, a value.AppliedChange) error {
	effect := "stands"
	if a.Superseded {
		effect = "took effect and was followed by another change; now stands"
	}
	_, err := fmt.Fprintf(c.Root().Writer, "%s: revision %d %s, digest %s\n", e, a.Revision, effect, a.Change.Digest)
	return err
}
