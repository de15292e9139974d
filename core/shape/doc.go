// Package shape defines the rules for the layout of the code base; its tests check the whole tree.
//
// The rules cover which imports packages below core may use, which names belong to the platform's
// folder alone, how packages are named, that each has a doc.go, that core does not read the clock, that
// the product does not call time.Sleep, and that test packages are external.
package shape
