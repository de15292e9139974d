package conf

import (
	"crypto/sha256"
	"encoding/hex"
)

// HashKey returns the form in which keys of callers and operators are kept: the hexadecimal SHA-256 sum.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
