package query

import (
	"strings"
	"unicode"

	"endivehitch/core/value"
)

// stepTexts describes what a decision was about.
var stepTexts = map[value.Step]string{
	value.StepAdmit:    "admission",
	value.StepQueue:    "the queue",
	value.StepPlan:     "the choice of version",
	value.StepRoute:    "the choice of backend server",
	value.StepRetry:    "another try",
	value.StepHedge:    "a second run beside the first",
	value.StepEscalate: "the judgement of the cascade's first answer",
	value.StepShare:    "sharing of a run",
	value.StepRefuse:   "refusal",
	value.StepBill:     "the bill",
	value.StepEject:    "the ejection of a backend server",
}

// reasonTexts describes why a decision was made, as the end of a sentence after "because".
var reasonTexts = map[value.Reason]string{
	value.ReasonCheapest:         "it is the cheapest that is known to meet the quality target",
	value.ReasonBestEffort:       "no allowed version is known to meet the quality target, and it is the best there is",
	value.ReasonPinned:           "the session keeps its version",
	value.ReasonStage:            "the roll-out's present stage sends this session to it",
	value.ReasonCascade:          "it leads the cheapest cascade that is known to meet the quality target",
	value.ReasonExplore:          "its quality is to be rated with a small share of requests",
	value.ReasonVersionWithdrawn: "the session's version has been withdrawn",
	value.ReasonLeastLoaded:      "it had the least work of those compared",
	value.ReasonPrefix:           "it has the prompt's leading part cached",
	value.ReasonCapacityFreed:    "a place became free",
	value.ReasonOutlier:          "it was much slower than its like",
	value.ReasonBudgetSpent:      "the budget of retries was spent",
	value.ReasonHedged:           "the first token was late",
	value.ReasonShared:           "the same question was in flight already",
	value.ReasonServerFailed:     "the backend server failed",
	value.ReasonAnswered:         "the answer was whole",
	value.ReasonAdmitted:         "the client account may send it and there was room",
	value.ReasonWaiting:          "it had to wait for capacity",
	value.ReasonJudgeAccepted:    "the judge accepted the first answer",
	value.ReasonJudgeRejected:    "the judge rejected the first answer",
	value.ReasonJudgeFailed:      "the judge gave no verdict",
	value.ReasonErrorRate:        "the version failed too often",
	value.ReasonQuality:          "the version's answers were rated too low",
	value.ReasonSlowRate:         "the version was slow too often",
	value.ReasonCostlyRate:       "the version was costly too often",
	value.ReasonOverdue:          "the roll-out's stage lasted too long",
	value.ReasonOperator:         "an operator withdrew the version",

	value.ReasonUnknownAccount:  "there is no such client account",
	value.ReasonKindNotAllowed:  "the client account may not send this kind of request",
	value.ReasonNoVersion:       "the client account is allowed no version in service",
	value.ReasonNoServer:        "no backend server could take it",
	value.ReasonOverloaded:      "the system was overloaded",
	value.ReasonQueueFull:       "the queue was full",
	value.ReasonDeadline:        "its deadline had passed or could not be kept",
	value.ReasonKeyRequired:     "this kind of request needs an idempotency key",
	value.ReasonKeyReused:       "its idempotency key was used for another request",
	value.ReasonStillRunning:    "an earlier request with this idempotency key is still running",
	value.ReasonOutcomeUnknown:  "it is not known whether an earlier request with this idempotency key took effect",
	value.ReasonJournalDown:     "the intent to run it could not be kept",
	value.ReasonLeaving:         "the instance is shutting down",
	value.ReasonBackend:         "the backend server failed",
	value.ReasonCanceled:        "the caller went away",
	value.ReasonBadRequest:      "the request could not be understood",
	value.ReasonBillNotStored:   "its bill could not be kept",
	value.ReasonNoConfiguration: "no document is in force yet",
}

// textOf returns the name's text in the table, or else the prefix and the words of the name itself.
func textOf[K ~string](table map[K]string, name K, prefix string) string {
	if text, ok := table[name]; ok {
		return text
	}
	return prefix + splitPascalCase(string(name))
}

// splitPascalCase turns a name in Pascal case into lower-case words.
func splitPascalCase(name string) string {
	var b strings.Builder
	for i, r := range name {
		if unicode.IsUpper(r) && i > 0 {
			b.WriteByte(' ')
		}
		b.WriteRune(unicode.ToLower(r))
	}
	return b.String()
}
