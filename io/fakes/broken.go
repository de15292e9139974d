package fakes

// forgedAnswer is an answer that stands where the body of another one is.
func forgedAnswer(fields string) string {
	return "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 6\r\n\r\nforged"
}

// BrokenStatusLines returns the bytes of servers whose status lines are outside the protocol, by what is wrong. The fields,
// with their line ends, are those by which a caller knows its answer.
func BrokenStatusLines(fields string) map[string]string {
	answers := make(map[string]string)
	for _, line := range []string{
		"HTTP/1.1 000 OK", "HTTP/1.1 099 OK", "HTTP/1.1 600 OK", "HTTP/1.1 999 OK", "HTTP/1.1 +20 OK", "HTTP/1.1 -00 OK",
		"HTTP/1.1 2000 OK", "HTTP/1.1 20 OK", "HTTP/1.1 20x OK", "HTTP/1.1  200 OK", "HTTP/1.1\t200 OK", "HTTP/2.0 200 OK",
		"HTTP/0.9 200 OK", "HTTP/3.1 200 OK", "http/1.1 200 OK", "HTTP/1.1 200 O\x00K", "HTTP/1.1 200 O\rK",
	} {
		answers[line] = line + "\r\n" + fields + "Content-Length: 2\r\n\r\n{}"
		answers[line+" before a forged answer"] = line + "\r\n" + fields + "\r\n" + forgedAnswer(fields)
	}
	return answers
}
