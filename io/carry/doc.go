// Package carry sees one request through: it picks backend servers, sends the request, tries again
// where that is allowed, steps up to larger models, and goes on with streams that break off.
//
// It knows no encoding: a Backend sends runs and a Sink takes the answer, both for head values of
// the front end's own type.
package carry
