package faults

// Step is a point in the handling of a request or in control work at which faults can begin.
type Step string

// The steps of a request.
const (
	StepAccept       Step = "Accept"
	StepAdmit        Step = "Admit"
	StepQueue        Step = "Queue"
	StepPin          Step = "Pin"
	StepRoute        Step = "Route"
	StepRecordIntent Step = "RecordIntent"
	StepDispatch     Step = "Dispatch"
	StepFirstByte    Step = "FirstByte"
	StepMidStream    Step = "MidStream"
	StepComplete     Step = "Complete"
	StepRecordBill   Step = "RecordBill"
	StepAnswer       Step = "Answer"
)

// The steps of control work.
const (
	StepApply       Step = "Apply"
	StepDisseminate Step = "Spread"
	StepStart       Step = "Start"
	StepAdvance     Step = "Advance"
	StepWithdraw    Step = "Withdraw"
	StepHandOver    Step = "HandOver"
	StepLeave       Step = "Leave"
)

// Steps returns all steps: those of a request in the order of its handling, then those of control work.
func Steps() []Step {
	return []Step{
		StepAccept, StepAdmit, StepQueue, StepPin, StepRoute, StepRecordIntent, StepDispatch, StepFirstByte, StepMidStream,
		StepComplete, StepRecordBill, StepAnswer, StepApply, StepDisseminate, StepStart, StepAdvance, StepWithdraw,
		StepHandOver, StepLeave,
	}
}

// IsDuringAttempt reports whether an attempt at a backend server is in progress at the step.
func (s Step) IsDuringAttempt() bool {
	return s == StepDispatch || s == StepFirstByte || s == StepMidStream || s == StepComplete
}

// IsDuringConfigChange reports whether an operator's change to the document is in progress at the
// step.
func (s Step) IsDuringConfigChange() bool {
	return s == StepApply || s == StepDisseminate
}
