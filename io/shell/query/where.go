package query

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/urfave/cli/v3"

	"endivehitch/io/shell/exit"
	"endivehitch/io/shell/reach"
	"endivehitch/io/where"
)

const flagJSON = "json"

// Where returns the command that asks a running instance what it would do with a request.
func Where() *cli.Command {
	q := new(where.Question)
	argument := func(name, usage string, value *string) cli.Flag {
		return &cli.StringFlag{Name: name, Usage: usage, Destination: value}
	}
	return &cli.Command{
		Name:  "where",
		Usage: "say where a running instance would send a request, what else it considered, and why",
		Description: "The instance answers by the queries that serve requests, and changes nothing. Servers are compared with a\n" +
			"few random ones, so CHANCE says in how many of a hundred draws each of them was selected.\n\n" +
			"Example: endivehitch where --instance http://10.0.0.5:9105 --route chat --prompt system:568,own:1800 --deadline 8s",
		Flags: append(
			[]cli.Flag{
				argument("host", "host of the request", &q.Host),
				argument("path", "path of the request", &q.Path),
				argument("route", "name of the route, in place of a host and a path", &q.Route),
				argument("account", "name of the client account that sends the request", &q.Account),
				argument("model", "model that the caller names, on a route without models of its own", &q.Model),
				argument("prompt", "parts of the prompt as ID:TOKENS, separated by commas; the last is the request's own", &q.Prompt),
				argument("input", "tokens of the prompt (default: those of its parts)", &q.Input),
				argument("output", "most tokens that may be generated", &q.Output),
				argument("deadline", "how long the caller waits, such as 8s", &q.Deadline),
				argument("session", "session of the request", &q.Session),
				argument("request", "identifier of the request, by which it goes to services and releases (default: a new one)", &q.Request),
				&cli.BoolFlag{Name: flagJSON, Usage: "print JSON"},
			}, reach.EdgeFlags()...),
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Args().Present() {
				return exit.UsageError{Message: fmt.Sprintf("where takes no argument %q", c.Args().First())}
			}
			return askWhere(ctx, c, *q)
		},
	}
}

func askWhere(ctx context.Context, c *cli.Command, q where.Question) error {
	client, err := reach.NewEdgeClient(c)
	if err != nil {
		return err
	}
	answer, err := where.Fetch(ctx, client, q)
	var wrong where.ArgumentError
	switch {
	case errors.As(err, &wrong):
		return exit.UsageError{Message: "--" + wrong.Error()}
	case err != nil:
		return fmt.Errorf("ask where: %w", err)
	case c.Bool(flagJSON):
		encoder := json.NewEncoder(c.Root().Writer)
		encoder.SetIndent("", "  ")
		return encoder.Encode(answer)
	}
	return PrintWhere(c.Root().Writer, answer)
}

// PrintWhere prints the answer for people.
func PrintWhere(out io.Writer, a where.Answer) error {
	t := newTable(out)
	fmt.Fprintf(t, "instance %s, revision %d, request %s\n", a.Instance, a.Revision, a.Request)
	if a.Route != "" {
		fmt.Fprintf(t, "admitted on route %s%s, priority %d\n", a.Route, named(" for account ", a.Account), a.Priority)
	}
	if a.Service != "" {
		fmt.Fprintf(t, "service %s%s%s\n", a.Service, named(", release ", a.Release), named(", model ", a.Model))
	}
	if a.IsProbe {
		fmt.Fprintln(t, "sent as a probe of a quarantined part of its prompt")
	}
	if r := a.Refusal; r != nil {
		fmt.Fprintf(t, "refused: %s: %s%s\n", r.Reason, r.Detail, retryText(*r))
	} else {
		fmt.Fprintf(t, "goes to %s%s%s\n", a.Server, waitText(a), named(", if granted by ", a.LimitKeeper))
	}
	if v := a.Admission; v != nil {
		fmt.Fprintf(t, "%.0f in 100 such requests are admitted, at a wait of %.1f objectives\n", 100*v.Share, v.Pressure)
	}
	if len(a.Servers) == 0 {
		return t.Flush()
	}
	fmt.Fprintf(t, "%d servers may take it%s\n", a.Eligible, excludedText(a.Excluded))
	fmt.Fprintln(t, "SERVER\tFAILURE DOMAIN\tRELEASE\tCHANCE\tSCORE\tREQUESTS\tSLOTS\tWORK MS\tSLOWDOWN\tNOTES")
	for _, s := range a.Servers {
		fmt.Fprintf(t, "%s\t%s\t%s\t%.0f\t%.3f\t%.1f\t%d\t%.1f\t%.2f\t%s\n",
			s.ID, s.FailureDomain, s.Release, 100*s.Chance, s.Score, s.Requests, s.Slots, s.WorkMs, s.Slowdown, notes(s))
	}
	return t.Flush()
}

func named(prefix, text string) string {
	if text == "" {
		return ""
	}
	return prefix + text
}

func retryText(r where.Refusal) string {
	text := ""
	if r.NotRun {
		text = "; not run"
	}
	if r.RetryAfterMs > 0 {
		text += fmt.Sprintf("; retry after %.0f ms", r.RetryAfterMs)
	}
	return text
}

func waitText(a where.Answer) string {
	text := ""
	if a.ExpectedWaitMs > 0 {
		text = fmt.Sprintf(", expected to begin within %.0f ms", a.ExpectedWaitMs)
	}
	if a.DeadlineMs > 0 {
		text += fmt.Sprintf(", deadline in %.0f ms", a.DeadlineMs)
	}
	return text
}

func excludedText(excluded map[string]int) string {
	text := ""
	for _, reason := range slices.Sorted(maps.Keys(excluded)) {
		text += fmt.Sprintf(", %d not: %s", excluded[reason], reason)
	}
	return text
}

// notes lists what else decides about a server.
func notes(s where.Server) string {
	var list []string
	add := func(holds bool, format string, args ...any) {
		if holds {
			list = append(list, fmt.Sprintf(format, args...))
		}
	}
	add(s.Excluded != "", "not: %s", s.Excluded)
	add(s.HoldsPrompt, "holds the prompt")
	if e := s.Estimate; e != nil {
		add(true, "wait %.1f + read %.1f + distance %.1f + interference %.1f ms", e.WaitMs, e.ReadMs, e.DistanceMs, e.InterferenceMs)
		add(e.HeldShare > 0, "holds %.0f%% of the shared parts", 100*e.HeldShare)
	}
	add(s.IsRemote, "other failure domain")
	add(s.IsEjected, "ejected")
	add(s.ColdMs > 0, "cold for %.0f ms", s.ColdMs)
	add(s.Limit > 0, "limit %g/s", s.Limit)
	add(s.ClosedMs > 0, "closed for %.0f ms", s.ClosedMs)
	return strings.Join(list, ", ")
}
