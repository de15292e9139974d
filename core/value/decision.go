package value

import "time"

// Step names the stage of request processing that took a decision.
type Step string

// The steps of request processing that take decisions.
const (
	StepAdmit    Step = "Admit"
	StepQueue    Step = "Queue"
	StepPlan     Step = "Plan"
	StepRoute    Step = "Route"
	StepRetry    Step = "Retry"
	StepHedge    Step = "Hedge"
	StepEscalate Step = "Escalate"
	StepShare    Step = "Share"
	StepRefuse   Step = "Refuse"
	StepBill     Step = "Bill"
	StepEject    Step = "Eject"
)

// The reasons for choices that are not refusals.
const (
	ReasonCheapest         Reason = "CheapestThatMeetsTarget"
	ReasonBestEffort       Reason = "NoVersionKnownToMeetTarget"
	ReasonPinned           Reason = "SessionKeepsVersion"
	ReasonStage            Reason = "RollOutStage"
	ReasonLeastLoaded      Reason = "LeastLoaded"
	ReasonServerFailed     Reason = "ServerFailed"
	ReasonAnswered         Reason = "Answered"
	ReasonAdmitted         Reason = "Admitted"
	ReasonWaiting          Reason = "WaitingForCapacity"
	ReasonPrefix           Reason = "PrefixCached"
	ReasonCapacityFreed    Reason = "PlaceBecameFree"
	ReasonOutlier          Reason = "OutlierAmongPeers"
	ReasonBudgetSpent      Reason = "RetryBudgetSpent"
	ReasonHedged           Reason = "FirstTokenLate"
	ReasonShared           Reason = "SameQuestionInFlight"
	ReasonVersionWithdrawn Reason = "PinnedVersionWithdrawn"
	ReasonCascade          Reason = "CheapestCascadeThatMeetsTarget"
	ReasonExplore          Reason = "ExploredForRatings"
	ReasonErrorRate        Reason = "ErrorRateTooHigh"
	ReasonQuality          Reason = "QualityTooLow"
	ReasonSlowRate         Reason = "TooManySlowRuns"
	ReasonCostlyRate       Reason = "TooManyCostlyRuns"
	ReasonOverdue          Reason = "StageTimedOut"
	ReasonOperator         Reason = "WithdrawnByOperator"
	ReasonJudgeAccepted    Reason = "JudgeAccepted"
	ReasonJudgeRejected    Reason = "JudgeRejected"
	ReasonJudgeFailed      Reason = "JudgeFailed"
)

// Decision is one decision on a request, as it is logged and explained to operators.
type Decision struct {
	Request RequestID
	Account AccountName
	Kind    KindName
	Step    Step
	Version VersionKey
	Server  ServerID
	// Candidates counts the options that were considered.
	Candidates int
	Reason     Reason
	// CostMicros is the expected or final cost in micro-units of currency.
	CostMicros int64
	Detail     string
	At         time.Time
}

// NewDecision returns a decision on the request, taken by the step.
func NewDecision(r Request, s Step, at time.Time) Decision {
	return Decision{Request: r.ID, Account: r.Account, Kind: r.Kind, Step: s, At: at}
}

// WithChoice returns a copy that records the chosen version and server, the number of candidates and
// the reason.
func (d Decision) WithChoice(v VersionKey, b ServerID, candidates int, reason Reason) Decision {
	d.Version = v
	d.Server = b
	d.Candidates = candidates
	d.Reason = reason
	return d
}

// WithReason returns a copy with another reason and detail.
func (d Decision) WithReason(reason Reason, detail string) Decision {
	d.Reason = reason
	d.Detail = detail
	return d
}

// WithCost returns a copy with another cost in micro-units of currency.
func (d Decision) WithCost(micros int64) Decision {
	d.CostMicros = micros
	return d
}
