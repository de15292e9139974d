package where

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"endivehitch/core/relay"
)

// Question says which request is asked about; fields that are not set are empty.
type Question struct {
	// Host and Path select a route like those of a request; Route names one in their place.
	Host  string
	Path  string
	Route string
	// Account is the name of the client account that sends the request.
	Account string
	Model   string
	// Prompt lists the parts of the prompt as ID:TOKENS, separated by commas; the last is the request's own.
	Prompt string
	// Input and Output are the numbers of tokens of the prompt and of the most that may be generated.
	Input  string
	Output string
	// Deadline is how long the caller waits, as a Go duration.
	Deadline string
	Session  string
	// Request is the request's identifier, by which it is assigned to services and releases; empty means any.
	Request string
}

// ArgumentError is the error of an argument that is not valid.
type ArgumentError struct {
	// Argument is the argument's name.
	Argument string
	Detail   string
}

// Error returns the argument's name and what is wrong with it.
func (e ArgumentError) Error() string {
	return e.Argument + ": " + e.Detail
}

// argumentError returns the error whose message was sent.
func argumentError(message string) ArgumentError {
	argument, detail, _ := strings.Cut(message, ": ")
	return ArgumentError{Argument: argument, Detail: detail}
}

// Check returns an ArgumentError if an argument is malformed or missing.
func (q Question) Check() error {
	_, err := q.decode(time.Time{})
	return err
}

// decode returns the request without what depends on the configuration: its route's host and its account's key.
func (q Question) decode(arrived time.Time) (relay.Request, error) {
	request := relay.Request{
		ID: q.Request, Method: "POST", Host: q.Host, Path: q.Path, Arrived: arrived, Model: relay.ModelName(q.Model), Session: q.Session,
	}
	switch {
	case q.Route == "" && (q.Host == "" || q.Path == ""):
		return request, ArgumentError{"route", "a route, or a host and a path, is needed"}
	case q.Route != "" && (q.Host != "" || q.Path != ""):
		return request, ArgumentError{"route", "excludes a host and a path"}
	case q.Path != "" && !strings.HasPrefix(q.Path, "/"):
		return request, ArgumentError{"path", fmt.Sprintf("%q doesn't begin with a slash", q.Path)}
	}
	if request.ID == "" {
		request.ID = uuid.NewString()
	}
	var err error
	if request.Prompt, err = decodePrompt(q.Prompt); err != nil {
		return request, err
	}
	if request.Input, err = decodeTokens("input", q.Input); err != nil {
		return request, err
	}
	if request.Output, err = decodeTokens("output", q.Output); err != nil {
		return request, err
	}
	if request.Input == 0 {
		for _, part := range request.Prompt {
			request.Input += part.Tokens
		}
	}
	if q.Deadline == "" {
		return request, nil
	}
	if request.CallerTimeout, err = time.ParseDuration(q.Deadline); err != nil || request.CallerTimeout <= 0 {
		return request, ArgumentError{"deadline", fmt.Sprintf("%q is no positive duration such as 8s", q.Deadline)}
	}
	return request, nil
}

func decodePrompt(text string) ([]relay.Part, error) {
	if text == "" {
		return nil, nil
	}
	var prompt []relay.Part
	for part := range strings.SplitSeq(text, ",") {
		id, size, ok := strings.Cut(strings.TrimSpace(part), ":")
		tokens, err := strconv.Atoi(size)
		if !ok || id == "" || err != nil || tokens < 0 {
			return nil, ArgumentError{"prompt", fmt.Sprintf("part %q is not ID:TOKENS", part)}
		}
		prompt = append(prompt, relay.Part{ID: id, Tokens: tokens})
	}
	return prompt, nil
}

func decodeTokens(argument, text string) (int, error) {
	if text == "" {
		return 0, nil
	}
	tokens, err := strconv.Atoi(text)
	if err != nil || tokens < 0 {
		return 0, ArgumentError{argument, fmt.Sprintf("%q is no number of tokens", text)}
	}
	return tokens, nil
}

// resolve returns the request with what the configuration says of its route and account.
func (q Question) resolve(state relay.State, request relay.Request) (relay.Request, error) {
	if q.Route != "" {
		i := slices.IndexFunc(state.Config.Routes, func(r relay.Route) bool { return string(r.Name) == q.Route })
		if i < 0 {
			return request, ArgumentError{"route", fmt.Sprintf("there is no route %q", q.Route)}
		}
		request.Host, request.Path = state.Config.Routes[i].Host, state.Config.Routes[i].Prefix
	}
	if q.Account == "" {
		return request, nil
	}
	i := slices.IndexFunc(state.Config.Accounts, func(a relay.Account) bool { return string(a.Name) == q.Account })
	if i < 0 || len(state.Config.Accounts[i].Keys) == 0 {
		return request, ArgumentError{"account", fmt.Sprintf("there is no client account %q with a key", q.Account)}
	}
	request.Key = state.Config.Accounts[i].Keys[0]
	return request, nil
}
