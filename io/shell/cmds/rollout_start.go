package cmds

import (
	"github.com/urfave/cli/v3"

	"endivehitch/core/steps"
)

// StartRollOut returns the command that starts a planned roll-out.
func StartRollOut() *cli.Command {
	return rollOutCommand(rollOutOptions{
		name:        "start",
		usage:       "move a planned roll-out to its first stage",
		description: "Example: endivehitch rollout start medium-3",
		verb:        steps.VerbStart,
	})
}
