// Package httpd runs HTTP servers until a context ends; ServeUntil is its only function.
package httpd
