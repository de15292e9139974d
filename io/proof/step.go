package proof

// Step is a point of a request's life or of the control's work at which a fault may strike.
type Step string

// The steps of a request.
const (
	StepAccept   Step = "Accept"
	StepAdmit    Step = "Admit"
	StepQueue    Step = "Queue"
	StepPin      Step = "Pin"
	StepRoute    Step = "Route"
	StepIntent   Step = "RecordIntent"
	StepDispatch Step = "Dispatch"
	StepFirst    Step = "FirstByte"
	StepMidst    Step = "MidStream"
	StepComplete Step = "Complete"
	StepBill     Step = "RecordBill"
	StepAnswer   Step = "Answer"
)

// The steps of the control's work.
const (
	StepApply    Step = "Apply"
	StepSpread   Step = "Spread"
	StepStart    Step = "Start"
	StepAdvance  Step = "Advance"
	StepWithdraw Step = "Withdraw"
	StepHandOver Step = "HandOver"
	StepLeave    Step = "Leave"
)

// Steps lists the steps in order.
func Steps() []Step {
	return []Step{
		StepAccept, StepAdmit, StepQueue, StepPin, StepRoute, StepIntent, StepDispatch, StepFirst, StepMidst,
		StepComplete, StepBill, StepAnswer, StepApply, StepSpread, StepStart, StepAdvance, StepWithdraw,
		StepHandOver, StepLeave,
	}
}

// Streams reports whether a run at a backend server is under way at the step.
func (s Step) Streams() bool {
	return s == StepDispatch || s == StepFirst || s == StepMidst || s == StepComplete
}

// Changes reports whether an operator's change of the document is under way at the step.
func (s Step) Changes() bool {
	return s == StepApply || s == StepSpread
}
