// Package shape states the rules that the code base's layout keeps; its tests hold the tree against them.
package shape
