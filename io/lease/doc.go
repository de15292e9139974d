// Package lease runs the fleet's short-lived duties: each is served by one
// instance at a time, under a lease in the key-value service.
package lease
