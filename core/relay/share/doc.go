// Package share decides which requests to engines are admitted when they ask for more than the engines can do in time.
//
// A Use is what one client account has asked for lately at one instance. A Ledger holds the uses that other instances have
// reported, and yields the Totals of the fleet. Pressure is the expected wait of recent requests relative to their
// objectives. Decide combines them: a request that can't be answered before its deadline is refused, and under pressure
// accounts are held to a common level relative to their weights.
//
// All values are immutable, and all functions are pure: times are arguments.
package share
