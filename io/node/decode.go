package node

import (
	"fmt"

	"endivehitch/core/cmds"
	"endivehitch/core/value"
	"endivehitch/io/conf"
	"endivehitch/io/plat"
)

func configPrefix(e value.Environment) string {
	return conf.Prefix(e)
}

// decoder turns the configuration's entries that changed into the command that puts them in force.
func decoder(env value.Environment) func([]plat.Entry) (cmds.Spread, error) {
	return func(changed []plat.Entry) (cmds.Spread, error) {
		var c cmds.Spread
		for _, e := range changed {
			if e.Key != conf.DocumentKey(env) {
				continue
			}
			record, err := conf.DecodeRecord(e)
			if err != nil {
				return cmds.Spread{}, fmt.Errorf("read document of revision %d: %w", e.Revision, err)
			}
			if c.Accepted, err = record.Accepted(); err != nil {
				return cmds.Spread{}, fmt.Errorf("check document of revision %d: %w", e.Revision, err)
			}
		}
		return c, nil
	}
}
