package query

import (
	"fmt"

	"endivehitch/core/value"
)

// Promote returns the digest of the document to copy from trial to production, or a
// value.ChangeRefused.
//
// An empty digest asks for the document in force in trial.
func Promote(trial, production value.CurrentRecord, digest string) (string, error) {
	if trial.Revision == 0 {
		return "", value.ChangeRefused{Reason: value.ReasonNothingStored, Detail: "no document was accepted in trial"}
	}
	accepted := trial.Change.Digest
	if digest != "" && digest != accepted {
		return "", value.ChangeRefused{
			Reason: value.ReasonNotInTrial,
			Detail: fmt.Sprintf("digest %s does not stand in trial, where %s does", digest, accepted),
		}
	}
	if production.Revision > 0 && production.Change.Digest == accepted {
		return "", value.ChangeRefused{
			Reason: value.ReasonAlreadyInForce,
			Detail: fmt.Sprintf("production has digest %s since revision %d", accepted, production.Revision),
		}
	}
	return accepted, nil
}
