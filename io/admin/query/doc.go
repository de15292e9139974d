// Package query holds the operators' questions, one a file: status, config and explain.
package query
