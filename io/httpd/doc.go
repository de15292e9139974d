// Package httpd runs HTTP servers. ServeUntil runs one until a context ends, and a Server can be drained:
// it then answers every request that it has read before it closes.
package httpd
