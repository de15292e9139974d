package node

import (
	"fmt"

	"endivehitch/core/cmds"
	"endivehitch/core/value"
	"endivehitch/io/conf"
	"endivehitch/io/plat"
)

// newDecoder returns a function that decodes changed entries of the configuration into the command
// that puts them in force. If some entries can't be decoded, it returns an error as well as the
// command for the others.
func newDecoder(env value.Environment) func([]plat.Entry) (cmds.InstallRevision, error) {
	return func(changed []plat.Entry) (cmds.InstallRevision, error) {
		c, err := conf.Decode(env, changed...)
		install := cmds.InstallRevision{Accepted: c.Accepted, RollOuts: c.RollOuts, Withdrawals: c.Withdrawals}
		if err != nil {
			return install, fmt.Errorf("decode configuration: %w", err)
		}
		return install, nil
	}
}
