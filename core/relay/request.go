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
	// ID is the identifier that the caller gave this request; it is the same in all attempts at servers.
	ID     string
	Method string
	Host   string
	// Path is the URL's path, without the query; it and Host select the route.
	Path string
	// Key is the caller's API key, or empty.
	Key string
	// Arrived is when the request's head was completely read.
	Arrived time.Time
	// CallerTimeout is how long the caller waits for the answer; zero means that it gave no limit.
	CallerTimeout time.Duration
	// Model is the model that the caller asks for.
	Model ModelName
	// Prompt lists the prompt's parts in order; the last is specific to the request or its session.
	Prompt []Part
	// Input is the number of tokens of the prompt, and Output the most tokens that may be generated.
	Input  int
	Output int
	// Expected is the caller's estimate of the number of generated tokens, or zero.
	Expected int
	// Session identifies the series of requests that this one belongs to, or is empty.
	Session string
}

// Deadline returns when the answer is due: after the caller's limit or the route's timeout,
// whichever is shorter; the zero time means no deadline.
func (q Request) Deadline(route Route) time.Time {
	timeout := q.CallerTimeout
	if route.Timeout > 0 && (timeout == 0 || route.Timeout < timeout) {
		timeout = route.Timeout
	}
	if timeout == 0 {
		return time.Time{}
	}
	return q.Arrived.Add(timeout)
}

// SharedParts returns the parts of the prompt that other requests may share: all but the last one.
func (q Request) SharedParts() []Part {
	if len(q.Prompt) == 0 {
		return nil
	}
	return q.Prompt[:len(q.Prompt)-1]
}

// Shared returns the second to last part of the prompt, with which the prefix that other requests may
// share ends. It reports false when the prompt has fewer than two parts.
func (q Request) Shared() (Part, bool) {
	shared := q.SharedParts()
	if len(shared) == 0 {
		return Part{}, false
	}
	return shared[len(shared)-1], true
}
