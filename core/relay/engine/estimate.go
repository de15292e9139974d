package engine

import "time"

// Demand is what a request asks of an engine, with times at a server of usual speed.
type Demand struct {
	// Shared is the time to read the parts of the prompt that other requests share, and Own that for the rest of it.
	Shared time.Duration
	Own    time.Duration
	// Gap is the longest pause between events that callers of the route accept; zero means not stated.
	Gap time.Duration
}

// Server is what is known of one engine.
type Server struct {
	// Requests is the number of requests that run or wait there.
	Requests float64
	// Pending is the time to read the prompts that this instance has sent there and that are not answered yet.
	Pending time.Duration
	// Held is the probability that the server holds the shared parts, from 0 to 1.
	Held float64
	// Factor is how much longer work takes there than at a server of usual speed.
	Factor float64
	// Distance is the cost of another failure domain.
	Distance time.Duration
}

// Estimate is what a request is expected to cost at a server.
type Estimate struct {
	// Wait is the time behind the requests that are there, Read the time to read what the server doesn't hold of the prompt,
	// and Distance the cost of another failure domain.
	Wait     time.Duration
	Read     time.Duration
	Distance time.Duration
	// Interference is the time that reading the prompt takes from the streams that run there.
	Interference time.Duration
}

const (
	// timePerRequest is the delay that each request at an engine adds to the first event of another one.
	timePerRequest = 4 * time.Millisecond
	// interferenceWeight is the weight of a running stream's delay relative to that of the request itself. Most streams
	// absorb a pause, since their callers accept a Gap.
	interferenceWeight = 0.2
	// defaultGap is assumed for routes that state none.
	defaultGap = 3 * time.Second
)

// EstimateOf returns the estimate of a request at a server. While a server reads a prompt, its running streams pause, so a
// long prompt costs more where many streams run. The cost grows with the square of the reading time, because short pauses
// stay within what callers accept.
func EstimateOf(d Demand, s Server) Estimate {
	read := scaled(d.Own+scaled(d.Shared, 1-s.Held), s.Factor)
	gap := d.Gap
	if gap <= 0 {
		gap = defaultGap
	}
	return Estimate{
		Wait: scaled(scaled(timePerRequest, s.Requests)+s.Pending, s.Factor), Read: read, Distance: s.Distance,
		Interference: scaled(read, interferenceWeight*s.Requests*float64(read)/float64(gap)),
	}
}

// FirstEvent returns the expected time until the request's first event.
func (e Estimate) FirstEvent() time.Duration {
	return e.Wait + e.Read + e.Distance
}

// Cost returns the time that the request costs its own caller and those of the running streams.
func (e Estimate) Cost() time.Duration {
	return e.FirstEvent() + e.Interference
}

func scaled(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}
