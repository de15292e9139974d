package stats

import "slices"

// MetricType is the type of a metric in Prometheus's terms.
type MetricType string

// The types of metrics.
const (
	Counter   MetricType = "Counter"
	Gauge     MetricType = "Gauge"
	Histogram MetricType = "Histogram"
)

// Metric describes one metric.
type Metric struct {
	// Name is its name in Prometheus.
	Name string
	// Unit is what its values count, or the unit in which they are measured.
	Unit    string
	Type    MetricType
	Labels  []string
	Meaning string
}

// The metrics of the control state and of requests that are routed by kind.
//
// Values of labels come from a bounded set. Text that callers can choose freely, such as an unknown
// kind, must not become a label, since each value adds a time series.
var (
	decisions = Metric{
		Name: "endivehitch_decisions_total", Unit: "decisions", Type: Counter, Labels: []string{"step", "reason"},
		Meaning: "Routing decisions, each of which is also a Decision log line.",
	}
	events = Metric{
		Name: "endivehitch_control_events_total", Unit: "events", Type: Counter, Labels: []string{"what"},
		Meaning: "Decisions of the control goroutine and of duties, by the message of their log line.",
	}
	refusals = Metric{
		Name: "endivehitch_refusals_total", Unit: "requests", Type: Counter, Labels: []string{"reason", "not_run"},
		Meaning: "Refused requests; not_run says whether the caller was told that nothing ran.",
	}
	answers = Metric{
		Name: "endivehitch_answers_total", Unit: "requests", Type: Counter, Labels: []string{"kind"},
		Meaning: "Requests whose caller has had the whole answer.",
	}
	bills = Metric{
		Name: "endivehitch_bills_total", Unit: "bills", Type: Counter, Labels: []string{"outcome"},
		Meaning: "Bills that were kept, and requests refused since their bill was not kept in time.",
	}
	tokens = Metric{
		Name: "endivehitch_tokens_total", Unit: "tokens", Type: Counter, Labels: []string{"version", "direction"},
		Meaning: "Tokens of answered requests as their engine reports them.",
	}
	storeCalls = Metric{
		Name: "endivehitch_store_calls_total", Unit: "calls", Type: Counter, Labels: []string{"sort"},
		Meaning: "Calls to the key-value service: reads, writes, watches opened, retries, calls coalesced and calls throttled.",
	}
	openWatches = Metric{
		Name: "endivehitch_store_watches", Unit: "watches", Type: Gauge,
		Meaning: "Watches of the key-value service that are open.",
	}
	requestsWaiting = Metric{
		Name: "endivehitch_requests_waiting", Unit: "requests", Type: Gauge,
		Meaning: "Requests that wait for a place at a backend server.",
	}
	requestsInFlight = Metric{
		Name: "endivehitch_requests_in_flight", Unit: "requests", Type: Gauge,
		Meaning: "Requests accepted and not yet ended.",
	}
	configRevision = Metric{
		Name: "endivehitch_config_revision", Unit: "revision", Type: Gauge,
		Meaning: "Configuration revision that is in force.",
	}
	configLag = Metric{
		Name: "endivehitch_config_lag_seconds", Unit: "seconds", Type: Gauge,
		Meaning: "Time since a newer configuration revision is known and not in force; 0 where none is known.",
	}
	instances = Metric{
		Name: "endivehitch_instances", Unit: "instances", Type: Gauge, Labels: []string{"state"},
		Meaning: "Instances as this one sees them.",
	}
	backendServers = Metric{
		Name: "endivehitch_backend_servers", Unit: "servers", Type: Gauge, Labels: []string{"state"},
		Meaning: "Backend servers as this instance sees them.",
	}
	claimsUnsettled = Metric{
		Name: "endivehitch_claims_unsettled", Unit: "claims", Type: Gauge,
		Meaning: "Claims of calls that run at most once whose end is not yet recorded.",
	}
	billsUnsafe = Metric{
		Name: "endivehitch_bills_unsafe", Unit: "bills", Type: Gauge,
		Meaning: "Bills that would be lost with this instance.",
	}
	firstToken = Metric{
		Name: "endivehitch_first_token_seconds", Unit: "seconds", Type: Histogram, Labels: []string{"kind"},
		Meaning: "Time from the request to the first piece of its answer.",
	}
	answerTime = Metric{
		Name: "endivehitch_answer_seconds", Unit: "seconds", Type: Histogram, Labels: []string{"kind"},
		Meaning: "Time from the request to the end of its whole answer.",
	}
)

// The metrics of relayed requests.
var (
	relayedDecisions = Metric{
		Name: "endivehitch_relayed_decisions_total", Unit: "decisions", Type: Counter, Labels: []string{"what", "reason"},
		Meaning: "Decisions about relayed requests, each of which is also a log line.",
	}
	intakeRefusals = Metric{
		Name: "endivehitch_intake_refusals_total", Unit: "callers", Type: Counter, Labels: []string{"kind"},
		Meaning: "Callers refused by the limits on what callers take together, by the kind of limit.",
	}
	relayedFirstByte = Metric{
		Name: "endivehitch_relayed_first_byte_seconds", Unit: "seconds", Type: Histogram,
		Meaning: "Time from a send to the first byte of its answer.",
	}
	relayedAnswer = Metric{
		Name: "endivehitch_relayed_answer_seconds", Unit: "seconds", Type: Histogram,
		Meaning: "Time from a relayed request to the end of its whole answer.",
	}
	relayedStoreCalls = Metric{
		Name: "endivehitch_relayed_store_calls_total", Unit: "calls", Type: Counter, Labels: []string{"call", "outcome"},
		Meaning: "Calls to the platform's metadata store, by whether they were answered.",
	}
	relayedClaims = Metric{
		Name: "endivehitch_relayed_claims_total", Unit: "claims", Type: Counter, Labels: []string{"server", "outcome"},
		Meaning: "Claims for requests to servers that are cold or have stated a limit, by whether their keeper granted them.",
	}
	relayedConfigVersion = Metric{
		Name: "endivehitch_relayed_config_version", Unit: "version", Type: Gauge,
		Meaning: "Version of the operators' configuration that is in force; 0 before the first.",
	}
	relayedStoreUnreachable = Metric{
		Name: "endivehitch_relayed_store_away", Unit: "instances", Type: Gauge,
		Meaning: "1 while this instance can't reach the metadata store, else 0.",
	}
	relayedEvacuatedDomains = Metric{
		Name: "endivehitch_relayed_evacuated_domains", Unit: "domains", Type: Gauge,
		Meaning: "Failure domains whose evacuation is in force at this instance.",
	}
	linesDropped = Metric{
		Name: "endivehitch_log_lines_dropped_total", Unit: "lines", Type: Counter,
		Meaning: "Log lines that were left out as the output was too slow.",
	}
)

var table = []Metric{
	relayedDecisions, intakeRefusals, relayedFirstByte, relayedAnswer, relayedStoreCalls, relayedClaims, relayedConfigVersion, relayedStoreUnreachable, relayedEvacuatedDomains, linesDropped,
	decisions, events, refusals, answers, bills, tokens, storeCalls, openWatches, requestsWaiting, requestsInFlight,
	configRevision, configLag, instances, backendServers, claimsUnsettled, billsUnsafe, firstToken, answerTime,
}

// Table returns every metric.
func Table() []Metric {
	return slices.Clone(table)
}
