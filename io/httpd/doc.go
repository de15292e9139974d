// Package httpd runs HTTP servers until their context ends.
package httpd
