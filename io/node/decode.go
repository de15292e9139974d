package node

import (
	"fmt"

	"endivehitch/core/cmds"
	"endivehitch/core/value"
	"endivehitch/io/conf"
	"endivehitch/io/plat"
)

// decoder turns the configuration's entries that changed into the command that puts them in force.
func decoder(env value.Environment) func([]plat.Entry) (cmds.InstallRevision, error) {
	return func(changed []plat.Entry) (cmds.InstallRevision, error) {
		c, err := conf.Decode(env, changed...)
		spread := cmds.InstallRevision{Accepted: c.Accepted, RollOuts: c.RollOuts, Withdrawals: c.Withdrawals}
		if err != nil {
			// What could be read is put in force all the same.
			return spread, fmt.Errorf("read configuration: %w", err)
		}
		return spread, nil
	}
}
