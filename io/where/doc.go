// Package where serves and calls the query of what an instance would do with a request.
//
// NewRoute returns the route that answers it from an Explainer, which the instance serves beside its metrics,
// and Fetch asks an instance. A Question holds the arguments as the operator gave them; an error about one begins
// with its name.
package where
