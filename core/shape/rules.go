package shape

import "strings"

const (
	shortestName = 4
	longestName  = 6
	corePrefix   = "endivehitch/core/"
	ioPrefix     = "endivehitch/io/"
)

// Forbidden reports whether a package below core must not import the path.
func Forbidden(path string) bool {
	if path == "net" || strings.HasPrefix(path, "net/") {
		return true
	}
	if path == "encoding" || strings.HasPrefix(path, "encoding/") {
		return true
	}
	return strings.HasPrefix(path, ioPrefix)
}

// InCore reports whether the import path belongs to a package below core.
func InCore(path string) bool {
	return strings.HasPrefix(path, corePrefix)
}

// NameFits reports whether a package's name is as long as the layout asks.
func NameFits(name string) bool {
	if name == "main" {
		return true
	}
	return len(name) >= shortestName && len(name) <= longestName
}

// ReadsClock reports whether a call of the time package reads the clock or waits on it.
func ReadsClock(name string) bool {
	switch name {
	case "Now", "Since", "Until", "After", "AfterFunc", "NewTimer", "NewTicker", "Tick", "Sleep":
		return true
	}
	return false
}
