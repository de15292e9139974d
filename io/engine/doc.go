// Package engine holds the port to model engines and plain services, and its adapters.
//
// What a decision needs of an answer is typed; the body itself passes through as bytes.
package engine
