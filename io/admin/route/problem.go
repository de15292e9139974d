package route

import (
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"endivehitch/core/value"
	"endivehitch/io/conf"
)

// BadRequest is the error of a request that is malformed or has an invalid field.
type BadRequest struct {
	Detail string
}

// Error returns the detail after the words "bad request".
func (b BadRequest) Error() string {
	return "bad request: " + b.Detail
}

// The reasons in problem documents by which the client restores an error's type.
const (
	reasonFaults      value.Reason = "DocumentFaults"
	reasonConflict    value.Reason = "Conflict"
	reasonUnavailable value.Reason = "Unavailable"
	reasonUnknown     value.Reason = "OutcomeUnknown"
	reasonFailed      value.Reason = "Failed"
)

const problemType = "application/problem+json"

// wireProblem is an RFC 9457 problem document.
type wireProblem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	Reason value.Reason
	// Faults is set if the document has faults.
	Faults []wireFault `json:",omitempty"`
	// Attempted and Current are set if the change conflicts with the record in force.
	Attempted *wireChange        `json:"Mine,omitempty"`
	Current   *wireCurrentRecord `json:"Present,omitempty"`
	// Change is set if the outcome of a change is unknown.
	Change value.ChangeID `json:",omitempty"`
}

type wireFault struct {
	Path string
	Line int
	What string
}

type wireChange struct {
	ID     value.ChangeID
	Who    string
	At     time.Time
	Expect int64
	Digest string
}

type wireCurrentRecord struct {
	Revision int64
	Change   wireChange
}

// WriteProblem answers with the status and problem document for the error's type.
func WriteProblem(w http.ResponseWriter, err error) {
	problem := toProblem(err)
	problem.Type = "about:blank"
	problem.Title = string(problem.Reason)
	w.Header().Set("Content-Type", problemType)
	w.WriteHeader(problem.Status)
	_ = json.NewEncoder(w).Encode(problem)
}

func toProblem(err error) wireProblem {
	var (
		bad         BadRequest
		faults      conf.Faults
		conflict    value.ChangeConflict
		refused     value.ChangeRefused
		unavailable value.ChangeUnavailable
		unknown     value.ChangeUnknown
	)
	switch {
	case errors.As(err, &bad):
		return wireProblem{Status: http.StatusBadRequest, Reason: value.ReasonBadRequest, Detail: bad.Detail}
	case errors.As(err, &faults):
		return wireProblem{Status: http.StatusUnprocessableEntity, Reason: reasonFaults, Detail: "the document has faults", Faults: toFaults(faults)}
	case errors.As(err, &conflict):
		attempted := wireChange(conflict.Attempted)
		current := wireCurrentRecord{Revision: conflict.Current.Revision, Change: wireChange(conflict.Current.Change)}
		return wireProblem{Status: http.StatusConflict, Reason: reasonConflict, Detail: conflict.Error(), Attempted: &attempted, Current: &current}
	case errors.As(err, &refused):
		return wireProblem{Status: refusalStatus(refused.Reason), Reason: refused.Reason, Detail: refused.Detail}
	case errors.As(err, &unavailable):
		return wireProblem{Status: http.StatusServiceUnavailable, Reason: reasonUnavailable, Detail: unavailable.Detail}
	case errors.As(err, &unknown):
		return wireProblem{Status: http.StatusGatewayTimeout, Reason: reasonUnknown, Detail: unknown.Detail, Change: unknown.Change}
	}
	return wireProblem{Status: http.StatusInternalServerError, Reason: reasonFailed, Detail: err.Error()}
}

func refusalStatus(reason value.Reason) int {
	switch reason {
	case value.ReasonNotOperator:
		return http.StatusUnauthorized
	case value.ReasonUnknownRequest, value.ReasonUnknownRollOut, value.ReasonNothingStored:
		return http.StatusNotFound
	}
	return http.StatusConflict
}

// toError returns the error that the problem document stands for.
func toError(p wireProblem) error {
	switch p.Reason {
	case value.ReasonBadRequest:
		return BadRequest{Detail: p.Detail}
	case reasonFaults:
		return fromFaults(p.Faults)
	case reasonUnavailable:
		return value.ChangeUnavailable{Detail: p.Detail}
	case reasonUnknown:
		return value.ChangeUnknown{Change: p.Change, Detail: p.Detail}
	case reasonFailed:
		return errors.New(p.Detail)
	case reasonConflict:
		if p.Attempted != nil && p.Current != nil {
			current := value.CurrentRecord{Revision: p.Current.Revision, Change: value.Change(p.Current.Change)}
			return value.ChangeConflict{Attempted: value.Change(*p.Attempted), Current: current}
		}
	}
	return value.ChangeRefused{Reason: p.Reason, Detail: p.Detail}
}

func toFaults(faults conf.Faults) []wireFault {
	list := make([]wireFault, len(faults))
	for i, f := range faults {
		list[i] = wireFault(f)
	}
	return list
}

func fromFaults(list []wireFault) conf.Faults {
	faults := make(conf.Faults, len(list))
	for i, w := range list {
		faults[i] = conf.Fault(w)
	}
	return faults
}
