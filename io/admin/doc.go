// Package admin is the operators' face over HTTP.
//
// Its routes stand in cmds, which change the key-value service, and in query,
// which ask the instance. Every route needs an operator's key.
package admin
