// Package conns keeps connections to servers open between requests, and hands out none that the
// server has closed or sent unasked bytes on.
package conns
