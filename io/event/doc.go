// Package event cuts a server-sent event stream into whole events.
package event
