package conf

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"

	"endivehitch/core/value"
)

// DocumentLimit is the largest document that is read, in bytes; the key-value service holds little more.
const DocumentLimit = 768 << 10

// Parse returns the document that the bytes state; the error is of type Faults and names every fault.
func Parse(data []byte) (value.Document, error) {
	if len(data) > DocumentLimit {
		return value.Document{}, Faults{{Line: 1, What: fmt.Sprintf("has %d bytes: at most %d are possible", len(data), DocumentLimit)}}
	}
	tree, err := parse(data)
	if err != nil {
		return value.Document{}, err
	}
	r := &reader{lines: make(map[string]int)}
	w := read[wireDocument](r, tree)
	c := &checker{reader: r, document: w}
	c.check()
	if len(r.faults) > 0 {
		slices.SortStableFunc(r.faults, func(a, b Fault) int { return cmp.Compare(a.Line, b.Line) })
		return value.Document{}, r.faults
	}
	return w.value(), nil
}

// Digest returns the SHA-256 sum of the bytes in hexadecimal.
func Digest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}
