package fakes

import (
	"maps"
	"strings"
)

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

// BrokenFields returns the bytes of servers with a line in a head that is no field, by that line: in the head of the answer,
// where its body would be framed without the line, and in that of an interim answer.
func BrokenFields(fields string) map[string]string {
	answers := make(map[string]string)
	for _, line := range []string{
		"X Y: v", "X-Y : v", "X-Y\t: v", "X\x00Y: v", "X\x01Y: v", "X\x7fY: v", "X\rY: v", "X\xe9: v", ": v", "no colon", " X-Y: v",
		"\tX-Y: v", "X-Y: a\r\n folded", "X-Y: a\x00b", "X-Y: a\rb", "X-Y: a\x1bb", "Content-Length : 2", "Transfer-Encoding : chunked",
	} {
		answers[line+" first"] = "HTTP/1.1 200 OK\r\n" + line + "\r\n" + fields + "\r\n{}"
		answers[line+" last"] = "HTTP/1.1 200 OK\r\n" + fields + line + "\r\nContent-Length: 2\r\n\r\n{}"
		answers[line+" in an interim answer"] = "HTTP/1.1 103 Early Hints\r\n" + line + "\r\n\r\n" + forgedAnswer(fields)
	}
	return answers
}

// BrokenAnswers returns the bytes of servers that are no answer, in all the ways that the functions beside this one know.
func BrokenAnswers(fields string) map[string]string {
	all := map[string]string{"protocol switch": ProtocolSwitch(fields)}
	for _, answers := range []map[string]string{
		BrokenStatusLines(fields), BrokenFields(fields), BrokenFraming(fields), BrokenBodies(fields), BrokenTrailers(fields),
	} {
		maps.Copy(all, answers)
	}
	return all
}

// SoundAnswers returns the bytes of servers that answer with the body {} and close the connection, each in a form that the
// protocol allows.
func SoundAnswers(fields string) map[string]string {
	const body = "Content-Length: 2\r\n\r\n{}"
	head := "HTTP/1.1 200 OK\r\n" + fields
	return map[string]string{
		"no reason phrase":        "HTTP/1.1 200\r\n" + fields + body,
		"empty reason phrase":     "HTTP/1.1 200 \r\n" + fields + body,
		"HTTP/1.0":                "HTTP/1.0 200 OK\r\n" + fields + "\r\n{}",
		"ended by the connection": head + "\r\n{}",
		"lines without CR":        strings.ReplaceAll(head+body, "\r", ""),
		"unusual fields":          head + "X-Empty:\r\nX-Tab:\ta\tb \r\nX-Latin: caf\xe9\r\n!#$%&'*+-.^_`|~9: v\r\n" + body,
		"long field":              head + "X-Long: " + strings.Repeat("v", 9000) + "\r\n" + body,
		"many fields":             head + strings.Repeat("X-Many: "+strings.Repeat("v", 1000)+"\r\n", 40) + body,
		"interim answers":         "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + head + body,
		"chunks and a trailer":    head + "Trailer: X-Sum\r\nTransfer-Encoding: chunked\r\n\r\n2;a=b\r\n{}\r\n0\r\nX-Sum: 1\r\n\r\n",
	}
}

// BrokenFraming returns the bytes of servers whose heads state the end of the body in a way that doesn't hold.
func BrokenFraming(fields string) map[string]string {
	const chunks = "2\r\n{}\r\n0\r\n\r\n"
	head := "HTTP/1.1 200 OK\r\n" + fields
	return map[string]string{
		"length before chunks":  head + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks,
		"length after chunks":   head + "Transfer-Encoding: chunked\r\ncontent-length: 2\r\n\r\n" + chunks,
		"chunks in HTTP/1.0":    "HTTP/1.0 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n" + chunks,
		"two lengths":           head + "Content-Length: 2\r\nContent-Length: 3\r\n\r\n{}",
		"list of lengths":       head + "Content-Length: 2, 3\r\n\r\n{}",
		"length with a sign":    head + "Content-Length: +2\r\n\r\n{}",
		"empty length":          head + "Content-Length:\r\n\r\n{}",
		"unknown coding":        head + "Transfer-Encoding: gzip, chunked\r\n\r\n" + chunks,
		"chunk over its size":   head + "Transfer-Encoding: chunked\r\n\r\n2\r\n{ }\r\n0\r\n\r\n",
		"chunk size with sign":  head + "Transfer-Encoding: chunked\r\n\r\n+2\r\n{}\r\n0\r\n\r\n",
		"chunk size with blank": head + "Transfer-Encoding: chunked\r\n\r\n 2\r\n{}\r\n0\r\n\r\n",
	}
}

// BrokenBodies returns the bytes of servers whose heads state a body where the status allows none.
func BrokenBodies(fields string) map[string]string {
	const chunks = "2\r\n{}\r\n0\r\n\r\n"
	interim, noContent := "HTTP/1.1 103 Early Hints\r\n", "HTTP/1.1 204 No Content\r\n"+fields
	return map[string]string{
		"interim answer with a length": interim + "Content-Length: 2\r\n\r\n" + forgedAnswer(fields),
		"interim answer in chunks":     interim + "Transfer-Encoding: chunked\r\n\r\n" + forgedAnswer(fields),
		"no content with a length":     noContent + "Content-Length: 2\r\n\r\n{}",
		"no content in chunks":         noContent + "Transfer-Encoding: chunked\r\n\r\n" + chunks,
	}
}

// ProtocolSwitch returns the bytes of a server that goes on in another protocol.
func ProtocolSwitch(fields string) string {
	return "HTTP/1.1 101 Switching Protocols\r\n" + fields + "Upgrade: other\r\nConnection: Upgrade\r\n\r\n{}"
}

// BrokenIdentifiers returns the bytes of servers whose answers name the request of the fields and another one, in the field
// with the given name.
func BrokenIdentifiers(fields, name string) map[string]string {
	const body = "Content-Length: 2\r\n\r\n{}"
	other := name + ": other\r\n"
	return map[string]string{
		"other identifier last":     "HTTP/1.1 200 OK\r\n" + fields + other + body,
		"other identifier first":    "HTTP/1.1 200 OK\r\n" + other + fields + body,
		"other identifier in a 500": "HTTP/1.1 500 Failed\r\n" + fields + other + body,
		"empty identifier in a 200": "HTTP/1.1 200 OK\r\n" + fields + name + ":\r\n" + body,
	}
}

// BrokenTrailers returns the bytes of servers with a malformed trailer after the last chunk.
func BrokenTrailers(fields string) map[string]string {
	answers := make(map[string]string)
	for name, trailer := range map[string]string{
		"line without colon": "no colon\r\n\r\n", "blank in a name": "X Y: v\r\n\r\n", "blank after a name": "X-Y : v\r\n\r\n",
		"control byte in a name": "X\x01Y: v\r\n\r\n", "control byte in a value": "X-Y: a\x00b\r\n\r\n", "length": "Content-Length: 9\r\n\r\n",
		"transfer coding": "Transfer-Encoding: chunked\r\n\r\n", "cut inside": "X-Y: v\r\n", "cut before": "", "blank line missing": "X-Y: v",
	} {
		answers[name] = "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n" + trailer
	}
	return answers
}
