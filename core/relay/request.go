package relay

import "time"

// Part is one part of a prompt.
type Part struct {
	// ID identifies the part's content.
	ID string
	// Tokens is the part's length.
	Tokens int
}

// Request is one request of a caller.
type Request struct {
	// ID is the caller's own identifier of this attempt.
	ID     string
	Method string
	Host   string
	// Path is the path alone, which selects the route.
	Path string
	// Key is the caller's API key, or empty.
	Key string
	// Arrived is when the request's head had been read.
	Arrived time.Time
	// Patience is how long the caller waits; zero means that it didn't say.
	Patience time.Duration
	// Model is the model that the caller names.
	Model ModelName
	// Prompt lists the prompt's parts in order; the last belongs to the request or its session.
	Prompt []Part
	// Input and Output are the prompt's tokens and the most tokens that may be generated.
	Input  int
	Output int
	// Expected is the caller's estimate of the tokens generated, or zero.
	Expected int
	// Session names the series of requests that this one belongs to, or is empty.
	Session string
}

// Deadline returns when the request is worth nothing any more, under the route's timeout.
func (q Request) Deadline(r Route) time.Time {
	most := q.Patience
	if r.Timeout > 0 && (most == 0 || r.Timeout < most) {
		most = r.Timeout
	}
	if most == 0 {
		return time.Time{}
	}
	return q.Arrived.Add(most)
}

// Shared returns the deepest part of the prompt that other requests share, which is the last but one.
func (q Request) Shared() (Part, bool) {
	if len(q.Prompt) < 2 {
		return Part{}, false
	}
	return q.Prompt[len(q.Prompt)-2], true
}
