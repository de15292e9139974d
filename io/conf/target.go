package conf

import (
	"fmt"
	"slices"
	"strings"

	"endivehitch/core/value"
)

// checkTargets names each client account's kind whose quality target can't be met.
func (c *checker) checkTargets() {
	each("ClientAccounts", c.document.ClientAccounts, func(at string, a wireAccount) {
		each(at+".Kinds", a.Kinds, func(at, name string) {
			i, ok := c.kinds[name]
			if !ok || c.document.Kinds[i].Model == "" {
				return
			}
			c.checkTarget(at, a, c.document.Kinds[i])
		})
	})
}

func (c *checker) checkTarget(at string, a wireAccount, k wireKind) {
	if _, ok := c.models[k.Model]; !ok {
		return
	}
	qualities := c.qualities(a, k.Model)
	if len(qualities) == 0 {
		c.fault(at, fmt.Sprintf("kind %q needs model %q, of which the client account is allowed no version in service", k.Name, k.Model))
		return
	}
	if best := reach(value.Judge(k.Judge), qualities); best < k.QualityTarget {
		c.fault(at, fmt.Sprintf("quality target %v of kind %q can't be reached: the best of the allowed versions and their cascades comes to %.4g", k.QualityTarget, k.Name, best))
	}
}

func (c *checker) qualities(a wireAccount, model string) []float64 {
	var list []float64
	for _, key := range slices.Compact(slices.Sorted(slices.Values(a.Versions))) {
		v, ok := c.versions[key]
		if !ok || v.Withdrawn || !strings.HasPrefix(key, string(value.NewVersionKey(value.ModelName(model), ""))) {
			continue
		}
		list = append(list, v.Quality)
	}
	return list
}

// reach is the best quality of the versions and of their cascades of two, as the document states them.
func reach(j value.Judge, qualities []float64) float64 {
	best := slices.Max(qualities)
	if !j.IsUsable() {
		return best
	}
	for _, first := range qualities {
		for _, second := range qualities {
			best = max(best, j.Quality(first, second))
		}
	}
	return best
}
