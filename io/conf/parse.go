package conf

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"

	"endivehitch/core/value"
)

// DocumentLimit is the size of the largest document that Parse accepts, in bytes. In base64, as a
// Record holds it, this size comes to 1 MiB, which is plat.ValueLimit, the size of the largest value
// that the key-value service takes. Because the Record also holds changes, a document slightly
// smaller than the limit can still be too large to store.
const DocumentLimit = 768 << 10

// Parse parses and validates a document; the error is of type Faults and lists every fault.
func Parse(data []byte) (value.Document, error) {
	if len(data) > DocumentLimit {
		return value.Document{}, Faults{{Line: 1, What: fmt.Sprintf("has %d bytes: at most %d are possible", len(data), DocumentLimit)}}
	}
	tree, err := parseTree(data)
	if err != nil {
		return value.Document{}, err
	}
	r := &reader{lines: make(map[string]int)}
	wire := readTree[wireDocument](r, tree)
	c := &checker{reader: r, document: wire}
	c.check()
	if len(r.faults) > 0 {
		slices.SortStableFunc(r.faults, func(a, b Fault) int { return cmp.Compare(a.Line, b.Line) })
		return value.Document{}, r.faults
	}
	return wire.value(), nil
}

// Digest returns the SHA-256 sum of the bytes in hexadecimal.
func Digest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}
