package conf

import (
	"crypto/sha256"
	"encoding/hex"
)

// HashKey returns the hexadecimal SHA-256 sum of a key, the form in which Settings holds the keys
// of callers, operators and readers.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
