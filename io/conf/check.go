package conf

import (
	"fmt"

	"endivehitch/core/value"
)

// checker validates what concerns more than one field of a document, such as references and unique
// names. It adds its faults to those of the reader.
type checker struct {
	*reader
	document wireDocument
	versions map[string]wireVersion
	models   nameIndex
	kinds    nameIndex
	pools    nameIndex
	services nameIndex
}

// nameIndex maps a name to its index in its list.
type nameIndex map[string]int

func (c *checker) addFault(path, what string) {
	c.reader.addFault(path, c.lineAt(path), what)
}

// lineAt returns the line of the value at the path, or of the closest enclosing value if the path
// is not in the document.
func (c *checker) lineAt(path string) int {
	for path != "" {
		if line, ok := c.lines[path]; ok {
			return line
		}
		path = parentPath(path)
	}
	return c.lines[""]
}

func (c *checker) check() {
	d := c.document
	c.models = indexByName(c, "Models", d.Models, func(m wireModel) string { return m.Name })
	c.kinds = indexByName(c, "Kinds", d.Kinds, func(k wireKind) string { return k.Name })
	c.pools = indexByName(c, "Pools", d.Pools, func(p wirePool) string { return p.Name })
	c.services = indexByName(c, "Services", d.Services, func(s wireService) string { return s.Name })
	indexByName(c, "ClientAccounts", d.ClientAccounts, func(a wireAccount) string { return a.Name })
	indexByName(c, "RollOuts", d.RollOuts, func(r wireRollOut) string { return r.Name })
	c.checkModels()
	forEach("Kinds", d.Kinds, c.checkKind)
	forEach("Services", d.Services, func(at string, s wireService) { c.checkReference(at+".Pool", s.Pool, c.pools, "pool") })
	forEach("ClientAccounts", d.ClientAccounts, c.checkAccount)
	forEach("RollOuts", d.RollOuts, c.checkRollOut)
	c.checkTargets()
}

// forEach calls check with each element of the list and its path.
func forEach[T any](path string, list []T, check func(at string, v T)) {
	for i, v := range list {
		check(fmt.Sprintf("%s[%d]", path, i), v)
	}
}

// indexByName returns the index of each name at its first occurrence, and reports names that occur
// again. Empty names are not reported here but by the reader.
func indexByName[T any](c *checker, path string, list []T, name func(T) string) nameIndex {
	first := make(nameIndex, len(list))
	for i, v := range list {
		n := name(v)
		firstIndex, duplicate := first[n]
		if !duplicate {
			first[n] = i
			continue
		}
		if n != "" {
			c.addFault(fmt.Sprintf("%s[%d].Name", path, i), fmt.Sprintf("%q is already the name of %s[%d]", n, path, firstIndex))
		}
	}
	return first
}

// checkReference reports a name that the index does not have. An empty name is not reported here
// but by the reader.
func (c *checker) checkReference(path, name string, to nameIndex, what string) {
	if _, ok := to[name]; !ok && name != "" {
		c.addFault(path, fmt.Sprintf("there is no %s %q", what, name))
	}
}

func (c *checker) checkModels() {
	c.versions = make(map[string]wireVersion)
	forEach("Models", c.document.Models, func(at string, m wireModel) {
		indexByName(c, at+".Versions", m.Versions, func(v wireVersion) string { return v.Name })
		forEach(at+".Versions", m.Versions, func(at string, v wireVersion) {
			c.checkReference(at+".Pool", v.Pool, c.pools, "pool")
			c.versions[string(value.NewVersionKey(value.ModelName(m.Name), v.Name))] = v
		})
	})
}

func (c *checker) checkKind(at string, kind wireKind) {
	c.checkReference(at+".Model", kind.Model, c.models, "model")
	c.checkReference(at+".Service", kind.Service, c.services, "service")
	switch {
	case kind.Model == "" && kind.Service == "":
		c.addFault(at, "must name a Model or a Service")
	case kind.Model != "" && kind.Service != "":
		c.addFault(at+".Service", "can't be stated beside a Model")
	case kind.Model != "" && kind.MaxTokens == 0:
		c.addFault(at+".MaxTokens", "must be at least 1 where a model answers")
	case kind.Service != "" && kind.QualityTarget > 0:
		c.addFault(at+".QualityTarget", "can't be stated where a service answers")
	}
	if _, stated := c.lines[at+".Judge"]; stated && !value.Judge(kind.Judge).IsUsable() {
		c.addFault(at+".Judge", "can't tell answers apart: AcceptGood must be above AcceptBad")
	}
	if kind.Share && !kind.Idempotent {
		c.addFault(at+".Share", "can't be true for a kind that is not idempotent")
	}
	if kind.MaxAttempts > 1 && !kind.Idempotent {
		c.addFault(at+".MaxAttempts", "can't be above 1 for a kind that is not idempotent")
	}
}

func (c *checker) checkAccount(at string, account wireAccount) {
	seen := make(nameIndex)
	forEach(at+".Versions", account.Versions, func(at, v string) {
		if _, ok := c.versions[v]; !ok && versionPattern.MatchString(v) {
			c.addFault(at, fmt.Sprintf("there is no version %q", v))
		}
		c.checkListedOnce(at, v, seen)
	})
	seen = make(nameIndex)
	forEach(at+".Kinds", account.Kinds, func(at, k string) {
		c.checkReference(at, k, c.kinds, "kind")
		c.checkListedOnce(at, k, seen)
	})
}

// checkListedOnce reports a name that occurs a second time in a list of references.
func (c *checker) checkListedOnce(path, name string, seen nameIndex) {
	if _, listed := seen[name]; listed {
		c.addFault(path, fmt.Sprintf("%q is listed twice", name))
	}
	seen[name] = len(seen)
}

func (c *checker) checkRollOut(at string, rollOut wireRollOut) {
	c.checkReference(at+".Model", rollOut.Model, c.models, "model")
	c.checkRollOutVersion(at+".From", rollOut.Model, rollOut.From)
	c.checkRollOutVersion(at+".To", rollOut.Model, rollOut.To)
	if rollOut.From == rollOut.To && rollOut.From != "" {
		c.addFault(at+".To", "is the version that the roll-out starts from")
	}
	previousPercent := 0
	forEach(at+".Stages", rollOut.Stages, func(at string, stage wireStage) {
		if stage.Percent <= previousPercent && stage.Percent > 0 {
			c.addFault(at+".Percent", fmt.Sprintf("%d is not above the stage before, which has %d", stage.Percent, previousPercent))
		}
		previousPercent = stage.Percent
		if stage.MaxTime > 0 && stage.MaxTime < stage.MinTime {
			c.addFault(at+".MaxTime", fmt.Sprintf("%v is below MinTime, which is %v", stage.MaxTime, stage.MinTime))
		}
	})
	if n := len(rollOut.Stages); n > 0 && previousPercent != fullPercent {
		c.addFault(fmt.Sprintf("%s.Stages[%d].Percent", at, n-1), "the last stage must have 100")
	}
}

// fullPercent is the percentage of the last stage, at which a roll-out is complete.
const fullPercent = 100

// checkRollOutVersion reports a version that the model does not have or that is withdrawn. An
// unknown model is not reported here but by checkRollOut.
func (c *checker) checkRollOutVersion(path, model, version string) {
	if _, known := c.models[model]; !known || version == "" {
		return
	}
	key := string(value.NewVersionKey(value.ModelName(model), version))
	found, ok := c.versions[key]
	if !ok {
		c.addFault(path, fmt.Sprintf("model %q has no version %q", model, version))
		return
	}
	if found.Withdrawn {
		c.addFault(path, fmt.Sprintf("version %q is withdrawn", key))
	}
}
