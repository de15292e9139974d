package relay

import "time"

// Names and identifiers of the relayed configuration.
type (
	// RouteName names a route.
	RouteName string
	// ServiceName names a group of equal backend servers.
	ServiceName string
	// ServerID identifies one backend server.
	ServerID string
	// AccountName names a client account.
	AccountName string
	// Release names a version of a service's software or weights.
	Release string
	// ModelName names a model.
	ModelName string
	// FailureDomain names the failure domain of an instance or backend server.
	FailureDomain string
	// MemberName names an instance of the router.
	MemberName string
)

// Repeat says what may be repeated of a route's requests.
type Repeat int

// The ways in which requests may be repeated.
const (
	// RepeatNever is for requests that may run at most once.
	RepeatNever Repeat = iota
	// RepeatFreely is for requests that may run any number of times.
	RepeatFreely
	// RepeatResumed is for streams that another run may go on with where the first one stopped.
	RepeatResumed
)

// Target is a service that receives a part of a route's requests.
type Target struct {
	Service ServiceName
	// Weight is the part, relative to the weights of the route's other targets.
	Weight int
}

// Route says which requests go where, and what is owed to them.
type Route struct {
	Name   RouteName
	Host   string
	Prefix string
	Repeat Repeat
	// Stream is set when answers are event streams.
	Stream bool
	// Timeout bounds the time until the final answer; zero means no bound.
	Timeout time.Duration
	// Objective is the time within which an answer, or a stream's first event, is worth most.
	Objective time.Duration
	// Gap is the longest pause between events that is still in time; zero means no bound.
	Gap time.Duration
	// Rank is the priority, 0 being the most urgent.
	Rank int
	// Attempts bounds the backend servers that one request may be sent to.
	Attempts int
	// Open routes need no key.
	Open bool
	// Models lists the models that may answer, the smallest first; empty means the caller chooses.
	Models  []ModelName
	Targets []Target
}

// Cascade reports whether the router chooses among models.
func (r Route) Cascade() bool {
	return len(r.Models) > 0
}

// Service is a group of equal backend servers.
type Service struct {
	Name ServiceName
	// Engine is set for model engines.
	Engine bool
}

// Account is a client account.
type Account struct {
	Name AccountName
	Keys []string
	// Rank goes before the route's rank where HasRank is set.
	Rank    int
	HasRank bool
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	// HeaderBytes and BodyBytes bound a request's size.
	HeaderBytes int
	BodyBytes   int
	// HeaderTimeout bounds the time that a caller takes for a request's head.
	HeaderTimeout time.Duration
	// Idle is how long a caller's connection may stay idle.
	Idle time.Duration
}

// Config is the operators' configuration.
type Config struct {
	Version  int64
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits
}
