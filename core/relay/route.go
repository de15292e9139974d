package relay

import (
	"slices"
	"time"
)

// Names and identifiers of the relayed configuration.
type (
	// RouteName names a route.
	RouteName string
	// ServiceName names a service.
	ServiceName string
	// ServerID identifies one backend server.
	ServerID string
	// AccountName names a client account.
	AccountName string
	// Release names a version of a service's software or model weights.
	Release string
	// ModelName names a model.
	ModelName string
	// FailureDomain names the failure domain of an instance or backend server.
	FailureDomain string
	// Region names a region, which consists of failure domains.
	Region string
	// MemberName names an instance of the router.
	MemberName string
)

// RetryRule is a route's rule for retries of requests that a server may have run.
type RetryRule int

// The retry rules.
const (
	// RetryNever is for requests that may run at most once.
	RetryNever RetryRule = iota
	// RetryAlways is for idempotent requests, which may run any number of times.
	RetryAlways
	// RetryResuming is for streams that another attempt may continue where the previous one stopped.
	RetryResuming
)

// Target is a service that receives a share of a route's requests.
type Target struct {
	Service ServiceName
	// Weight is the target's share, relative to the weights of the route's other targets.
	Weight int
}

// Route says which requests go to which services, and within which limits they are answered.
type Route struct {
	Name   RouteName
	Host   string
	Prefix string
	// Repeat is the rule for retries.
	Repeat RetryRule
	// Stream is set when answers are event streams.
	Stream bool
	// Timeout bounds the time until the final answer; zero means no bound.
	Timeout time.Duration
	// Objective is the target latency of an answer, or of a stream's first event.
	Objective time.Duration
	// Gap is the target for the longest pause between events of a stream; zero means none.
	Gap time.Duration
	// Rank is the priority, 0 being the most urgent.
	Rank int
	// Attempts bounds the attempts of one request that backend servers may have run.
	Attempts int
	// Open is set when requests need no key.
	Open bool
	// Models lists the models that may answer, smallest first; if empty, the caller names the model.
	Models  []ModelName
	Targets []Target
	// AllowedRegions lists the regions whose servers may get the requests; empty means all.
	AllowedRegions []Region
}

// IsCascade reports whether the route is a model cascade, in which the router chooses the model.
func (r Route) IsCascade() bool {
	return len(r.Models) > 0
}

// IsRepeatable reports whether a request of the route may be sent to a server again after another may have run it.
func (r Route) IsRepeatable() bool {
	return r.Repeat != RetryNever
}

// Service is a group of interchangeable backend servers.
type Service struct {
	Name ServiceName
	// Engine is set when the servers are model engines.
	Engine bool
	// ColdPerSecond is the number of requests a second that a cold server takes from all instances together; zero means that
	// the service has no cold rate, and ColdTime how long a server is cold after its start.
	ColdPerSecond float64
	ColdTime      time.Duration
	// KVTokens is the number of tokens that the memory of one engine holds; zero means not stated.
	KVTokens int
	// Models lists the models of the engines and their prices.
	Models []ServiceModel
}

// StatesCost reports whether the service is one of engines whose memory size or prices are known, which the decisions about
// their load require.
func (s Service) StatesCost() bool {
	if !s.Engine {
		return false
	}
	return s.KVTokens > 0 || slices.ContainsFunc(s.Models, func(m ServiceModel) bool { return m.Price > 0 })
}

// ServiceModel is a model that the engines of a service run.
type ServiceModel struct {
	Name ModelName
	// Price is that of 1,000 generated tokens; zero means not stated.
	Price float64
}

// Account is a client account.
type Account struct {
	Name AccountName
	Keys []string
	// Rank overrides the route's rank when HasRank is set.
	Rank    int
	HasRank bool
	// AllowedRegions lists the regions whose servers may get the account's requests; empty means all.
	AllowedRegions []Region
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	// HeaderBytes and BodyBytes bound a request's size.
	HeaderBytes int
	BodyBytes   int
	// HeaderTimeout bounds the time that a caller may take to send a request's head.
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
