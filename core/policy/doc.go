// Package policy holds the generic containers and policies that decisions are
// built from: persistent tables, pickers, limiters, rings and estimators.
//
// Each policy is an immutable value built from a configuration struct; a With
// method returns its next state. Time and randomness come in as arguments.
package policy
