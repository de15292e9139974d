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

// ErrNoLines is the error of a log file that has no line about the request.
var ErrNoLines = errors.New("no line about the request")

// longestLine is the greatest length of a log line that can be read, in bytes.
const longestLine = 1 << 20

// explainLog prints each log line about the request as plain text. Text before the JSON object of a
// line, such as the name of the instance, is printed too.
func explainLog(w io.Writer, path, request string) error {
	f, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("read log: %w", err)
	}
	// The file is only read, so that an error of Close loses nothing.
	defer func() { _ = f.Close() }()
	scanner := bufio.NewScanner(f)
	scanner.Buffer(nil, longestLine)
	found := 0
	for scanner.Scan() {
		text, ok := formatLine(scanner.Text(), request)
		if !ok {
			continue
		}
		found++
		if _, err := fmt.Fprintln(w, text); err != nil {
			return fmt.Errorf("print log line: %w", err)
		}
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("read log: %w", err)
	}
	if found == 0 {
		return fmt.Errorf("%w %s in %s", ErrNoLines, request, path)
	}
	return nil
}

// formatLine returns the log line as plain text, and whether it is about the request.
func formatLine(line, request string) (string, bool) {
	prefix, object, ok := strings.Cut(line, "{")
	if !ok || !strings.Contains(object, request) {
		return "", false
	}
	var fields map[string]any
	if err := json.Unmarshal([]byte("{"+object), &fields); err != nil || fields["Request"] != request {
		return "", false
	}
	parts := []string{strings.TrimSpace(prefix), fmt.Sprint(fields["Time"]), fmt.Sprint(fields["Message"])}
	for _, name := range []string{"Level", "Time", "Message", "Request"} {
		delete(fields, name)
	}
	var details []string
	for name, value := range fields {
		details = append(details, fmt.Sprintf("%s=%v", name, value))
	}
	slices.Sort(details)
	return strings.TrimSpace(strings.Join(append(parts, details...), " ")), true
}
