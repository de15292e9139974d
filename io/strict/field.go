package strict

import "net/http"

// Value returns the value of a field that stands once in a header, and "" if it is missing. It reports false if the field has
// several values that differ, so that none of them can be relied on.
func Value(header http.Header, name string) (string, bool) {
	values := header.Values(name)
	if len(values) == 0 {
		return "", true
	}
	for _, v := range values[1:] {
		if v != values[0] {
			return "", false
		}
	}
	return values[0], true
}
