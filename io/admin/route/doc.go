// Package route turns typed functions into the routes of the operators' face, and calls them from afar.
package route
