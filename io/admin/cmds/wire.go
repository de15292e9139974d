package cmds

import (
	"regexp"
	"time"

	"endivehitch/core/value"
	"endivehitch/io/admin/route"
)

// wireApplied is the answer to an order that took effect.
type wireApplied struct {
	Change    string
	Who       string
	At        time.Time
	Expect    int64
	Digest    string
	Revision  int64
	Overtaken bool
}

func toWire(a value.AppliedChange) wireApplied {
	return wireApplied{
		Change:    string(a.Change.ID),
		Who:       a.Change.Who,
		At:        a.Change.At,
		Expect:    a.Change.Expect,
		Digest:    a.Change.Digest,
		Revision:  a.Revision,
		Overtaken: a.Superseded,
	}
}

func (w wireApplied) value() value.AppliedChange {
	return value.AppliedChange{
		Change:     value.Change{ID: value.ChangeID(w.Change), Who: w.Who, At: w.At, Expect: w.Expect, Digest: w.Digest},
		Revision:   w.Revision,
		Superseded: w.Overtaken,
	}
}

var environmentPattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,30}$`)

// checkOrder refuses an order whose environment or identifier can't be kept.
func checkOrder(e value.Environment, id value.ChangeID) error {
	if !environmentPattern.MatchString(string(e)) {
		return route.BadRequest{Detail: "Environment must be 1 to 31 small letters, digits or '-'"}
	}
	if id == "" {
		return route.BadRequest{Detail: "Change must not be empty"}
	}
	return nil
}
