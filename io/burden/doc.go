// Package burden lets the instances know what the others have under way at each backend server: each
// tells the reader of its failure domain, and the readers tell one another sums.
package burden
