package cmds

import (
	"github.com/urfave/cli/v3"

	"endivehitch/core/steps"
)

// WithdrawRollOut returns the command that takes a roll-out's new version out of service.
func WithdrawRollOut() *cli.Command {
	return rollOutCommand(rollOutOptions{
		name:        "withdraw",
		usage:       "take the new version of a roll-out out of service for good",
		description: "Example: endivehitch rollout withdraw medium-3",
		verb:        steps.VerbWithdraw,
	})
}
