package shape

import (
	"slices"
	"strings"
)

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

// platformNames begin what only the platform's own folder may name: its headers, its paths and the
// variable that holds the path of its settings.
var platformNames = []string{"X-Endivehitch-", "/v1/kv-", "/v1/readyz", "ENDIVEHITCH_BOOT", "op/config", "status/rollout"}

// NamesPlatform reports whether the text names something of the users' platform.
func NamesPlatform(text string) bool {
	return slices.ContainsFunc(platformNames, func(n string) bool { return strings.Contains(text, n) })
}

// InPlatform reports whether the file, by its path in the repository, translates for the platform.
func InPlatform(path string) bool {
	return strings.HasPrefix(path, "platform/")
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
