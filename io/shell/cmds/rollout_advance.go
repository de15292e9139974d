package cmds

import (
	"github.com/urfave/cli/v3"

	"endivehitch/core/steps"
)

const flagStage = "stage"

// AdvanceRollOut returns the command that moves a roll-out to its next stage.
func AdvanceRollOut() *cli.Command {
	return rollOutCommand(rollOutOptions{
		name:  "advance",
		usage: "move a roll-out to its next stage, without waiting for its conditions",
		description: "The last stage's advance ends the roll-out. You name the stage to be left, so that two operators don't skip one.\n\n" +
			"Example: endivehitch rollout advance --stage 0 medium-3",
		verb: steps.VerbAdvance,
		flags: []cli.Flag{
			&cli.IntFlag{Name: flagStage, Usage: "stage to be left, from 0", Required: true},
		},
	})
}
