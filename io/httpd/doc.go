// Package httpd runs HTTP servers until a context ends; Until is its only function.
package httpd
