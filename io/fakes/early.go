package fakes

import "fmt"

// LongUploadBytes is more than the kernel's buffers take of a request's body, so that a server that answers early does so while
// the body is being written.
const LongUploadBytes = 32 << 20

// EarlyPart returns the beginning of an answer that only the end of its connection completes.
func EarlyPart(fields string) string {
	return "HTTP/1.1 200 OK\r\n" + fields + "\r\npart"
}

// EarlyAnswers returns complete answers, with the body {}, that a server may write before it has read its request's body.
func EarlyAnswers(fields string) map[string]RawAnswer {
	head := "HTTP/1.1 200 OK\r\n" + fields
	return map[string]RawAnswer{
		"with a length":           {Text: head + "Content-Length: 2\r\n\r\n{}"},
		"in chunks":               {Text: head + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n"},
		"ended by the connection": {Text: head + "\r\n{}", HalfClose: true},
	}
}

// StartEarlyServer starts a server that gives the answer to each request before it has read the body.
func StartEarlyServer(a RawAnswer) (*RawServer, error) {
	return StartRawServer(RawConfig{IDHeader: "X-Request-Id", Early: true, Answer: func(int, string) RawAnswer { return a }})
}

// CountPassedResets plays a server that answers with a part and resets the connection while the request is being sent. It calls
// send with the server's address as often as given, and returns how often send reports a complete answer.
func CountPassedResets(fields string, plays int, send func(address string) bool) (int, error) {
	s, err := StartEarlyServer(RawAnswer{Text: EarlyPart(fields), Reset: true})
	if err != nil {
		return 0, fmt.Errorf("play resets: %w", err)
	}
	passed := 0
	for range plays {
		if send(s.Address()) {
			passed++
		}
	}
	return passed, s.Close()
}
