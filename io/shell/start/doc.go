// Package start holds the commands that run instances: serve and demo.
package start
