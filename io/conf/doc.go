// Package conf parses and validates the configuration of the system, and reads and writes it in the
// key-value service.
//
// Parse turns the environment document, YAML or JSON with names in Pascal case, into a
// value.Document. It is strict: its error, Faults, lists every Fault with path and line. The
// document holds nothing that differs between environments, such as an address or a key; that
// belongs to Settings, which ParseSettings reads from a file of each process.
//
// In the key-value service, a Record holds the document's bytes with its current change and the
// change history. Entries of their own hold the progress of roll-outs and the withdrawals of
// versions; Decode turns any of these entries into Changes. StoreProgress and StoreWithdrawal write
// the latter two by compare-and-swap.
package conf
