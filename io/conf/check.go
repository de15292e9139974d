package conf

import (
	"fmt"

	"endivehitch/core/value"
)

// checker holds the parts of a document against one another.
type checker struct {
	*reader
	document wireDocument
	versions map[string]wireVersion
	models   names
	kinds    names
	pools    names
	services names
}

// names maps a name to its place in its list.
type names map[string]int

func (c *checker) fault(path, what string) {
	c.reader.fault(path, c.line(path), what)
}

// line falls back on the enclosing value where the path itself is not stated.
func (c *checker) line(path string) int {
	for path != "" {
		if line, ok := c.lines[path]; ok {
			return line
		}
		path = parent(path)
	}
	return c.lines[""]
}

func (c *checker) check() {
	d := c.document
	c.models = unique(c, "Models", d.Models, func(m wireModel) string { return m.Name })
	c.kinds = unique(c, "Kinds", d.Kinds, func(k wireKind) string { return k.Name })
	c.pools = unique(c, "Pools", d.Pools, func(p wirePool) string { return p.Name })
	c.services = unique(c, "Services", d.Services, func(s wireService) string { return s.Name })
	unique(c, "ClientAccounts", d.ClientAccounts, func(a wireAccount) string { return a.Name })
	unique(c, "RollOuts", d.RollOuts, func(r wireRollOut) string { return r.Name })
	c.checkModels()
	each("Kinds", d.Kinds, c.checkKind)
	each("Services", d.Services, func(at string, s wireService) { c.refers(at+".Pool", s.Pool, c.pools, "pool") })
	each("ClientAccounts", d.ClientAccounts, c.checkAccount)
	each("RollOuts", d.RollOuts, c.checkRollOut)
	c.checkTargets()
}

func each[T any](path string, list []T, check func(at string, v T)) {
	for i, v := range list {
		check(fmt.Sprintf("%s[%d]", path, i), v)
	}
}

func unique[T any](c *checker, path string, list []T, name func(T) string) names {
	first := make(names, len(list))
	for i, v := range list {
		n := name(v)
		j, twice := first[n]
		if !twice {
			first[n] = i
			continue
		}
		if n != "" {
			c.fault(fmt.Sprintf("%s[%d].Name", path, i), fmt.Sprintf("%q is already the name of %s[%d]", n, path, j))
		}
	}
	return first
}

// refers checks a reference; an empty one is named where the field itself is checked.
func (c *checker) refers(path, name string, to names, what string) {
	if _, ok := to[name]; !ok && name != "" {
		c.fault(path, fmt.Sprintf("there is no %s %q", what, name))
	}
}

func (c *checker) checkModels() {
	c.versions = make(map[string]wireVersion)
	each("Models", c.document.Models, func(at string, m wireModel) {
		unique(c, at+".Versions", m.Versions, func(v wireVersion) string { return v.Name })
		each(at+".Versions", m.Versions, func(at string, v wireVersion) {
			c.refers(at+".Pool", v.Pool, c.pools, "pool")
			c.versions[string(value.NewVersionKey(value.ModelName(m.Name), v.Name))] = v
		})
	})
}

func (c *checker) checkKind(at string, k wireKind) {
	c.refers(at+".Model", k.Model, c.models, "model")
	c.refers(at+".Service", k.Service, c.services, "service")
	switch {
	case k.Model == "" && k.Service == "":
		c.fault(at, "must name a Model or a Service")
	case k.Model != "" && k.Service != "":
		c.fault(at+".Service", "can't be stated beside a Model")
	case k.Model != "" && k.MaxTokens == 0:
		c.fault(at+".MaxTokens", "must be at least 1 where a model answers")
	case k.Service != "" && k.QualityTarget > 0:
		c.fault(at+".QualityTarget", "can't be stated where a service answers")
	}
	if _, stated := c.lines[at+".Judge"]; stated && !value.Judge(k.Judge).IsUsable() {
		c.fault(at+".Judge", "can't tell answers apart: AcceptGood must be above AcceptBad")
	}
	if k.Share && !k.Idempotent {
		c.fault(at+".Share", "can't be true for a kind that is not idempotent")
	}
	if k.MaxAttempts > 1 && !k.Idempotent {
		c.fault(at+".MaxAttempts", "can't be above 1 for a kind that is not idempotent")
	}
}

func (c *checker) checkAccount(at string, a wireAccount) {
	seen := make(names)
	each(at+".Versions", a.Versions, func(at, v string) {
		if _, ok := c.versions[v]; !ok && versionPattern.MatchString(v) {
			c.fault(at, fmt.Sprintf("there is no version %q", v))
		}
		c.once(at, v, seen)
	})
	seen = make(names)
	each(at+".Kinds", a.Kinds, func(at, k string) {
		c.refers(at, k, c.kinds, "kind")
		c.once(at, k, seen)
	})
}

func (c *checker) once(path, name string, seen names) {
	if _, twice := seen[name]; twice {
		c.fault(path, fmt.Sprintf("%q is listed twice", name))
	}
	seen[name] = len(seen)
}

func (c *checker) checkRollOut(at string, r wireRollOut) {
	c.refers(at+".Model", r.Model, c.models, "model")
	c.rollOutVersion(at+".From", r.Model, r.From)
	c.rollOutVersion(at+".To", r.Model, r.To)
	if r.From == r.To && r.From != "" {
		c.fault(at+".To", "is the version that the roll-out starts from")
	}
	was := 0
	each(at+".Stages", r.Stages, func(at string, s wireStage) {
		if s.Percent <= was && s.Percent > 0 {
			c.fault(at+".Percent", fmt.Sprintf("%d is not above the stage before, which has %d", s.Percent, was))
		}
		was = s.Percent
		if s.MaxTime > 0 && s.MaxTime < s.MinTime {
			c.fault(at+".MaxTime", fmt.Sprintf("%v is below MinTime, which is %v", s.MaxTime, s.MinTime))
		}
	})
	if n := len(r.Stages); n > 0 && was != wholeShare {
		c.fault(fmt.Sprintf("%s.Stages[%d].Percent", at, n-1), "the last stage must have 100")
	}
}

// wholeShare is the percentage at which a roll-out is complete.
const wholeShare = 100

func (c *checker) rollOutVersion(path, model, version string) {
	if _, known := c.models[model]; !known || version == "" {
		return
	}
	key := string(value.NewVersionKey(value.ModelName(model), version))
	v, ok := c.versions[key]
	if !ok {
		c.fault(path, fmt.Sprintf("model %q has no version %q", model, version))
		return
	}
	if v.Withdrawn {
		c.fault(path, fmt.Sprintf("version %q is withdrawn", key))
	}
}
