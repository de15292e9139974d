package route

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// maxBodyBytes is the size limit of a request's body, which may hold a document in base64 besides
// other fields.
const maxBodyBytes = 2 << 20

// Route is one path of the operators' API.
type Route struct {
	Method  string
	Path    string
	Handler http.Handler
}

// New returns a route that decodes the request as In, calls handle and encodes its result or its
// error.
func New[In, Out any](method, path string, handle func(context.Context, In) (Out, error)) Route {
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		in, err := decode[In](w, r)
		if err != nil {
			WriteProblem(w, BadRequest{Detail: err.Error()})
			return
		}
		out, err := handle(r.Context(), in)
		if err != nil {
			WriteProblem(w, err)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		// The results of all routes can be encoded, so that an error here means a lost connection,
		// which can't be reported to the client.
		_ = json.NewEncoder(w).Encode(out)
	})
	return Route{Method: method, Path: path, Handler: handler}
}

// decode decodes the JSON body, or for a GET the URL's query parameters; the fields of In must then be
// strings. Of a parameter that is given more than once, the first value counts.
func decode[In any](w http.ResponseWriter, r *http.Request) (In, error) {
	var in In
	if r.Method != http.MethodGet {
		return in, decodeStrict(http.MaxBytesReader(w, r.Body, maxBodyBytes), &in)
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

// decodeStrict decodes the JSON body and refuses unknown fields, so that a misspelled field is not
// silently ignored.
func decodeStrict(body io.Reader, into any) error {
	d := json.NewDecoder(body)
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return fmt.Errorf("decode body: %w", err)
	}
	return nil
}

type operatorKey struct{}

// WithOperator returns a context that carries the name of the operator who sent the request.
func WithOperator(ctx context.Context, name string) context.Context {
	return context.WithValue(ctx, operatorKey{}, name)
}

// Operator returns the operator's name that WithOperator stored in the context, or an empty string.
func Operator(ctx context.Context) string {
	name, _ := ctx.Value(operatorKey{}).(string)
	return name
}
