package cmds

import (
	"regexp"
	"time"

	"endivehitch/core/value"
	"endivehitch/io/admin/route"
)

// wireApplied is the body of the answer to a change that took effect.
type wireApplied struct {
	Change     string
	Who        string
	At         time.Time
	Expect     int64
	Digest     string
	Revision   int64
	Superseded bool `json:"Overtaken"`
}

func toWireApplied(applied value.AppliedChange) wireApplied {
	return wireApplied{
		Change:     string(applied.Change.ID),
		Who:        applied.Change.Who,
		At:         applied.Change.At,
		Expect:     applied.Change.Expect,
		Digest:     applied.Change.Digest,
		Revision:   applied.Revision,
		Superseded: applied.Superseded,
	}
}

func (w wireApplied) value() value.AppliedChange {
	return value.AppliedChange{
		Change:     value.Change{ID: value.ChangeID(w.Change), Who: w.Who, At: w.At, Expect: w.Expect, Digest: w.Digest},
		Revision:   w.Revision,
		Superseded: w.Superseded,
	}
}

var environmentPattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,30}$`)

// checkOrder returns route.BadRequest if the environment's name or the change identifier is
// invalid.
func checkOrder(e value.Environment, id value.ChangeID) error {
	if !environmentPattern.MatchString(string(e)) {
		return route.BadRequest{Detail: "Environment must be 1 to 31 small letters, digits or '-'"}
	}
	if id == "" {
		return route.BadRequest{Detail: "Change must not be empty"}
	}
	return nil
}
