package value

import (
	"fmt"
	"strings"
	"time"
)

// ChainID identifies the sequence of bills that one process of an instance has made.
type ChainID string

// chainSeparator stands between the instance and the start of its process.
const chainSeparator = "~"

// NewChainID returns the identifier for the instance's process that started at the time.
func NewChainID(instance InstanceID, started time.Time) ChainID {
	return ChainID(fmt.Sprintf("%s%s%019d", instance, chainSeparator, started.UnixNano()))
}

// Instance returns the instance whose bills the chain holds.
func (c ChainID) Instance() InstanceID {
	if i := strings.LastIndex(string(c), chainSeparator); i >= 0 {
		return InstanceID(c[:i])
	}
	return InstanceID(c)
}

// Precedes reports whether the chain is of an earlier process of the same instance.
func (c ChainID) Precedes(other ChainID) bool {
	return c.Instance() == other.Instance() && c < other
}
