package conf

import (
	"fmt"
	"slices"
	"strings"

	"endivehitch/core/value"
)

// checkTargets reports each client account's kind whose quality target its allowed versions can't
// meet.
func (c *checker) checkTargets() {
	forEach("ClientAccounts", c.document.ClientAccounts, func(at string, account wireAccount) {
		forEach(at+".Kinds", account.Kinds, func(at, name string) {
			kindIndex, ok := c.kinds[name]
			if !ok || c.document.Kinds[kindIndex].Model == "" {
				return
			}
			c.checkTarget(at, account, c.document.Kinds[kindIndex])
		})
	})
}

func (c *checker) checkTarget(at string, account wireAccount, kind wireKind) {
	if _, ok := c.models[kind.Model]; !ok {
		return
	}
	qualities := c.allowedQualities(account, kind.Model)
	if len(qualities) == 0 {
		c.addFault(at, fmt.Sprintf("kind %q needs model %q, of which the client account is allowed no version in service", kind.Name, kind.Model))
		return
	}
	if best := bestQuality(value.Judge(kind.Judge), qualities); best < kind.QualityTarget {
		c.addFault(at, fmt.Sprintf("quality target %v of kind %q can't be reached: the best of the allowed versions and their cascades comes to %.4g", kind.QualityTarget, kind.Name, best))
	}
}

// allowedQualities returns the qualities of the model's versions that the client account may use
// and that are not withdrawn.
func (c *checker) allowedQualities(account wireAccount, model string) []float64 {
	var qualities []float64
	for _, key := range slices.Compact(slices.Sorted(slices.Values(account.Versions))) {
		v, ok := c.versions[key]
		if !ok || v.Withdrawn || !strings.HasPrefix(key, string(value.NewVersionKey(value.ModelName(model), ""))) {
			continue
		}
		qualities = append(qualities, v.Quality)
	}
	return qualities
}

// bestQuality returns the highest quality that one version or a cascade of two reaches, according
// to the figures in the document. Without a judge there are no cascades.
func bestQuality(judge value.Judge, qualities []float64) float64 {
	best := slices.Max(qualities)
	if !judge.IsUsable() {
		return best
	}
	for _, first := range qualities {
		for _, second := range qualities {
			best = max(best, judge.Quality(first, second))
		}
	}
	return best
}
