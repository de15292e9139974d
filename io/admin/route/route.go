package route

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// bodyBytes bounds a request's body: a document in base64 with room for the rest.
const bodyBytes = 2 << 20

// Route is one path of the operators' face.
type Route struct {
	Method  string
	Path    string
	Handler http.Handler
}

// New returns a route that decodes an In, calls the function and encodes its Out or its error.
func New[In, Out any](method, path string, do func(context.Context, In) (Out, error)) Route {
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		in, err := decode[In](w, r)
		if err != nil {
			WriteProblem(w, BadRequest{Detail: err.Error()})
			return
		}
		out, err := do(r.Context(), in)
		if err != nil {
			WriteProblem(w, err)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		// The status has gone out: an answer that can't be written is cut off, which the operator sees.
		_ = json.NewEncoder(w).Encode(out)
	})
	return Route{Method: method, Path: path, Handler: handler}
}

// decode reads the body, or for a GET the query, whose fields are then all text.
func decode[In any](w http.ResponseWriter, r *http.Request) (In, error) {
	var in In
	if r.Method != http.MethodGet {
		return in, strict(http.MaxBytesReader(w, r.Body, bodyBytes), &in)
	}
	fields := make(map[string]string)
	for name, values := range r.URL.Query() {
		fields[name] = values[0]
	}
	data, err := json.Marshal(fields)
	if err != nil {
		return in, fmt.Errorf("read query: %w", err)
	}
	if err := json.Unmarshal(data, &in); err != nil {
		return in, fmt.Errorf("read query: %w", err)
	}
	return in, nil
}

func strict(from io.Reader, into any) error {
	d := json.NewDecoder(from)
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return fmt.Errorf("decode body: %w", err)
	}
	return nil
}

type operatorKey struct{}

// WithOperator returns a context that carries the name of the operator who asks.
func WithOperator(ctx context.Context, who string) context.Context {
	return context.WithValue(ctx, operatorKey{}, who)
}

// Operator returns the name of the operator who asks, or an empty one.
func Operator(ctx context.Context) string {
	who, _ := ctx.Value(operatorKey{}).(string)
	return who
}
