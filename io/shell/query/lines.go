package query

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
)

// ErrNoLines is returned when a log file has no line about the request.
var ErrNoLines = errors.New("no line about the request")

// longestLine bounds a line of a log file, in bytes.
const longestLine = 1 << 20

// explainLog prints what a log file says of a request, a decision a line. What stands before the
// JSON on a line, such as the name of the instance, is kept.
func explainLog(w io.Writer, path, request string) error {
	f, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("read log: %w", err)
	}
	// The file is only read, so closing it can't lose anything.
	defer func() { _ = f.Close() }()
	lines := bufio.NewScanner(f)
	lines.Buffer(nil, longestLine)
	found := 0
	for lines.Scan() {
		text, ok := about(lines.Text(), request)
		if !ok {
			continue
		}
		found++
		if _, err := fmt.Fprintln(w, text); err != nil {
			return fmt.Errorf("print decision: %w", err)
		}
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("read log: %w", err)
	}
	if found == 0 {
		return fmt.Errorf("%w %s in %s", ErrNoLines, request, path)
	}
	return nil
}

// about returns a line in plain words if it is about the request.
func about(line, request string) (string, bool) {
	before, text, ok := strings.Cut(line, "{")
	if !ok || !strings.Contains(text, request) {
		return "", false
	}
	var fields map[string]any
	if err := json.Unmarshal([]byte("{"+text), &fields); err != nil || fields["Request"] != request {
		return "", false
	}
	words := []string{strings.TrimSpace(before), fmt.Sprint(fields["Time"]), fmt.Sprint(fields["Message"])}
	for _, name := range []string{"Level", "Time", "Message", "Request"} {
		delete(fields, name)
	}
	var rest []string
	for name, value := range fields {
		rest = append(rest, fmt.Sprintf("%s=%v", name, value))
	}
	slices.Sort(rest)
	return strings.TrimSpace(strings.Join(append(words, rest...), " ")), true
}
