package conf

import (
	"fmt"
	"net/netip"
	"net/url"
	"reflect"
	"regexp"
	"strconv"
	"strings"
	"time"

	"endivehitch/core/value"
)

// rules are the constraints on a field's value that its tags state.
type rules struct {
	required bool
	format   string
	// low and high are the ends of the range, written as in the tag.
	low  string
	high string
}

var (
	namePattern    = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
	versionPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}/[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
	durationType   = reflect.TypeFor[time.Duration]()
)

func rulesOf(f reflect.StructField) rules {
	low, high, _ := strings.Cut(f.Tag.Get("range"), "..")
	return rules{required: f.Tag.Get("need") == "true", format: f.Tag.Get("form"), low: low, high: high}
}

// The check methods and functions return what is wrong with a value, or an empty string.

func (r rules) checkText(s string) string {
	if s == "" && r.format != "" {
		return "is empty"
	}
	switch r.format {
	case "name":
		if !namePattern.MatchString(s) {
			return fmt.Sprintf("%q is no name: 1 to 63 letters, digits, '.', '_' or '-', starting with a letter or digit", s)
		}
	case "version":
		if !versionPattern.MatchString(s) {
			return fmt.Sprintf("%q is no version: it must be written as model/version", s)
		}
	case "priority":
		if !value.Priority(s).IsValid() {
			return fmt.Sprintf("%q is no priority: Status, Interactive or Draft", s)
		}
	case "hash":
		return checkHash(s)
	case "address":
		return checkAddress(s)
	case "port":
		return checkPort(s)
	}
	return ""
}

func checkPort(s string) string {
	if _, err := netip.ParseAddrPort(s); err != nil {
		return fmt.Sprintf("%q is no address such as 10.0.0.1:7702", s)
	}
	return ""
}

func checkAddress(s string) string {
	u, err := url.Parse(s)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return fmt.Sprintf("%q is no address such as http://10.0.0.1:8000", s)
	}
	return ""
}

func (r rules) checkNumber(n float64) string {
	if r.low == "" {
		return ""
	}
	low, _ := strconv.ParseFloat(r.low, 64)
	high, _ := strconv.ParseFloat(r.high, 64)
	if n >= low && n <= high {
		return ""
	}
	return fmt.Sprintf("%v is out of range: %s to %s", strconv.FormatFloat(n, 'f', -1, 64), r.low, r.high)
}

func (r rules) checkDuration(d time.Duration) string {
	low, _ := time.ParseDuration(r.low)
	high, _ := time.ParseDuration(r.high)
	if d >= low && d <= high {
		return ""
	}
	return fmt.Sprintf("%v is out of range: %s to %s", d, r.low, r.high)
}

func (r rules) checkLength(n int) string {
	low, _ := strconv.Atoi(r.low)
	high, _ := strconv.Atoi(r.high)
	if n >= low && n <= high {
		return ""
	}
	return fmt.Sprintf("has %d entries: %s to %s are possible", n, r.low, r.high)
}
