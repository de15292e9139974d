// Package reach holds the flags by which commands reach the operators' face of an instance.
package reach
