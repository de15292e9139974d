package stats

import "slices"

// Sort is how a metric's values are to be read.
type Sort string

// The sorts of metrics.
const (
	Counter   Sort = "Counter"
	Gauge     Sort = "Gauge"
	Histogram Sort = "Histogram"
)

// Metric describes one metric.
type Metric struct {
	// Name is the name under which Prometheus sees it.
	Name string
	// Unit is what one of its values counts or measures.
	Unit    string
	Sort    Sort
	Labels  []string
	Meaning string
}

// Labels hold only values of a bounded set; what callers make up, such as an unknown kind, is no label.
var (
	decisions = Metric{
		Name: "endivehitch_decisions_total", Unit: "decisions", Sort: Counter, Labels: []string{"step", "reason"},
		Meaning: "Routing decisions, each of which is also a Decision log line.",
	}
	events = Metric{
		Name: "endivehitch_control_events_total", Unit: "events", Sort: Counter, Labels: []string{"what"},
		Meaning: "Decisions of the control goroutine and of duties, by the message of their log line.",
	}
	refusals = Metric{
		Name: "endivehitch_refusals_total", Unit: "requests", Sort: Counter, Labels: []string{"reason", "not_run"},
		Meaning: "Refused requests; not_run says whether the caller was told that nothing ran.",
	}
	answers = Metric{
		Name: "endivehitch_answers_total", Unit: "requests", Sort: Counter, Labels: []string{"kind"},
		Meaning: "Requests whose caller has had the whole answer.",
	}
	keptBills = Metric{
		Name: "endivehitch_bills_total", Unit: "bills", Sort: Counter, Labels: []string{"outcome"},
		Meaning: "Bills that were kept, and requests refused since their bill was not kept in time.",
	}
	tokens = Metric{
		Name: "endivehitch_tokens_total", Unit: "tokens", Sort: Counter, Labels: []string{"version", "direction"},
		Meaning: "Tokens of answered requests as their engine reports them.",
	}
	storeCalls = Metric{
		Name: "endivehitch_store_calls_total", Unit: "calls", Sort: Counter, Labels: []string{"sort"},
		Meaning: "Calls to the key-value service: reads, writes, watches opened, retries, calls coalesced and calls throttled.",
	}
	openWatches = Metric{
		Name: "endivehitch_store_watches", Unit: "watches", Sort: Gauge,
		Meaning: "Watches of the key-value service that are open.",
	}
	waiting = Metric{
		Name: "endivehitch_requests_waiting", Unit: "requests", Sort: Gauge,
		Meaning: "Requests that wait for a place at a backend server.",
	}
	inFlight = Metric{
		Name: "endivehitch_requests_in_flight", Unit: "requests", Sort: Gauge,
		Meaning: "Requests accepted and not yet ended.",
	}
	revision = Metric{
		Name: "endivehitch_config_revision", Unit: "revision", Sort: Gauge,
		Meaning: "Configuration revision that is in force.",
	}
	lag = Metric{
		Name: "endivehitch_config_lag_seconds", Unit: "seconds", Sort: Gauge,
		Meaning: "Time since a newer configuration revision is known and not in force; 0 where none is known.",
	}
	instances = Metric{
		Name: "endivehitch_instances", Unit: "instances", Sort: Gauge, Labels: []string{"state"},
		Meaning: "Instances as this one sees them.",
	}
	servers = Metric{
		Name: "endivehitch_backend_servers", Unit: "servers", Sort: Gauge, Labels: []string{"state"},
		Meaning: "Backend servers as this instance sees them.",
	}
	unsettled = Metric{
		Name: "endivehitch_claims_unsettled", Unit: "claims", Sort: Gauge,
		Meaning: "Claims of calls that run at most once whose end is not yet recorded.",
	}
	unsafeBills = Metric{
		Name: "endivehitch_bills_unsafe", Unit: "bills", Sort: Gauge,
		Meaning: "Bills that would be lost with this instance.",
	}
	firstToken = Metric{
		Name: "endivehitch_first_token_seconds", Unit: "seconds", Sort: Histogram, Labels: []string{"kind"},
		Meaning: "Time from the request to the first piece of its answer.",
	}
	answerTime = Metric{
		Name: "endivehitch_answer_seconds", Unit: "seconds", Sort: Histogram, Labels: []string{"kind"},
		Meaning: "Time from the request to the end of its whole answer.",
	}
)

// The metrics of relayed requests.
var (
	relayed = Metric{
		Name: "endivehitch_relayed_decisions_total", Unit: "decisions", Sort: Counter, Labels: []string{"what", "reason"},
		Meaning: "Decisions about relayed requests, each of which is also a log line.",
	}
	relayedFirst = Metric{
		Name: "endivehitch_relayed_first_byte_seconds", Unit: "seconds", Sort: Histogram,
		Meaning: "Time from a send to the first byte of its answer.",
	}
	relayedWhole = Metric{
		Name: "endivehitch_relayed_answer_seconds", Unit: "seconds", Sort: Histogram,
		Meaning: "Time from a relayed request to the end of its whole answer.",
	}
	relayedStore = Metric{
		Name: "endivehitch_relayed_store_calls_total", Unit: "calls", Sort: Counter, Labels: []string{"call", "outcome"},
		Meaning: "Calls to the platform's metadata store, by whether they were answered.",
	}
	relayedVersion = Metric{
		Name: "endivehitch_relayed_config_version", Unit: "version", Sort: Gauge,
		Meaning: "Version of the operators' configuration that is in force; 0 before the first.",
	}
	relayedAway = Metric{
		Name: "endivehitch_relayed_store_away", Unit: "instances", Sort: Gauge,
		Meaning: "1 while this instance can't reach the metadata store, else 0.",
	}
	linesDropped = Metric{
		Name: "endivehitch_log_lines_dropped_total", Unit: "lines", Sort: Counter,
		Meaning: "Log lines that were left out as the output was too slow.",
	}
)

var table = []Metric{
	relayed, relayedFirst, relayedWhole, relayedStore, relayedVersion, relayedAway, linesDropped,
	decisions, events, refusals, answers, keptBills, tokens, storeCalls, openWatches, waiting, inFlight,
	revision, lag, instances, servers, unsettled, unsafeBills, firstToken, answerTime,
}

// Table returns every metric.
func Table() []Metric {
	return slices.Clone(table)
}
