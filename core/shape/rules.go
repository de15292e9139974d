package shape

import (
	"slices"
	"strings"
)

const (
	minNameLength = 4
	maxNameLength = 6
	corePrefix    = "endivehitch/core/"
	ioPrefix      = "endivehitch/io/"
)

// IsForbiddenInCore reports whether the import path is forbidden to packages below core: network,
// encoding and this module's io packages.
func IsForbiddenInCore(path string) bool {
	if path == "net" || strings.HasPrefix(path, "net/") {
		return true
	}
	if path == "encoding" || strings.HasPrefix(path, "encoding/") {
		return true
	}
	return strings.HasPrefix(path, ioPrefix)
}

// IsInCore reports whether the import path belongs to a package below core.
func IsInCore(path string) bool {
	return strings.HasPrefix(path, corePrefix)
}

// platformNames are parts of the texts that only the platform's folder may contain: the platform's
// headers, its paths, its store keys and the environment variable with the path of its settings.
var platformNames = []string{"X-Endivehitch-", "/v1/kv-", "/v1/readyz", "ENDIVEHITCH_BOOT", "op/config", "status/rollout"}

// MentionsPlatform reports whether the text contains one of the platform's names.
func MentionsPlatform(text string) bool {
	return slices.ContainsFunc(platformNames, func(n string) bool { return strings.Contains(text, n) })
}

// IsInPlatform reports whether the file, by its path in the repository, is in the platform's folder.
func IsInPlatform(path string) bool {
	return strings.HasPrefix(path, "platform/")
}

// IsAllowedPackageName reports whether a package's name has a length that the layout allows.
func IsAllowedPackageName(name string) bool {
	if name == "main" {
		return true
	}
	return len(name) >= minNameLength && len(name) <= maxNameLength
}

// ReadsClock reports whether the function of package time reads the clock or waits for it.
func ReadsClock(name string) bool {
	switch name {
	case "Now", "Since", "Until", "After", "AfterFunc", "NewTimer", "NewTicker", "Tick", "Sleep":
		return true
	}
	return false
}
