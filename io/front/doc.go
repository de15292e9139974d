// Package front is the callers' face: chat completions and plain services over HTTP.
//
// It turns HTTP into value.Request and back; every decision lies behind flow.
package front
