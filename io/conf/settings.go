package conf

import (
	"cmp"
	"encoding/hex"
	"fmt"
	"slices"

	"endivehitch/core/value"
)

// Settings holds what differs between environments and therefore is not part of the document.
type Settings struct {
	// Callers maps the hexadecimal SHA-256 sums of API keys to client accounts.
	Callers map[string]value.AccountName
	// Operators maps the hexadecimal SHA-256 sums of operators' keys to their names.
	Operators map[string]string
	// Readers maps the hexadecimal SHA-256 sums of read-only keys to their holders' names.
	Readers map[string]string
	// Servers lists the backend servers if the platform has no instance list.
	Servers []value.BackendServer
	// Instances lists instances of the fleet if the platform has no instance list; the other
	// instances are discovered through these.
	Instances []value.Instance
}

type wireSettings struct {
	Callers   []wireCaller   `range:"0..100000"`
	Operators []wireOperator `range:"0..10000"`
	Readers   []wireOperator `range:"0..10000"`
	Servers   []wireServer   `range:"0..20000"`
	Instances []wireInstance `range:"0..10000"`
}

type wireCaller struct {
	Hash          string `need:"true" form:"hash"`
	ClientAccount string `need:"true" form:"name"`
}

type wireOperator struct {
	Hash string `need:"true" form:"hash"`
	Name string `need:"true" form:"name"`
}

type wireServer struct {
	ID            string   `need:"true" form:"name"`
	Address       string   `need:"true" form:"address"`
	Pool          string   `need:"true" form:"name"`
	FailureDomain string   `need:"true" form:"name"`
	Versions      []string `form:"version" range:"0..1000"`
}

type wireInstance struct {
	ID            string `need:"true" form:"name"`
	FailureDomain string `need:"true" form:"name"`
	PeerAddress   string `need:"true" form:"port"`
}

// ParseSettings parses and validates a settings file; the error is of type Faults and lists every
// fault.
func ParseSettings(data []byte) (Settings, error) {
	tree, err := parseTree(data)
	if err != nil {
		return Settings{}, err
	}
	r := &reader{lines: make(map[string]int)}
	wire := readTree[wireSettings](r, tree)
	checkDistinct(r, "Callers", wire.Callers, func(c wireCaller) string { return c.Hash })
	checkDistinct(r, "Operators", wire.Operators, func(o wireOperator) string { return o.Hash })
	checkDistinct(r, "Readers", wire.Readers, func(o wireOperator) string { return o.Hash })
	checkDistinct(r, "Servers", wire.Servers, func(s wireServer) string { return s.ID })
	checkDistinct(r, "Instances", wire.Instances, func(i wireInstance) string { return i.ID })
	if len(r.faults) > 0 {
		slices.SortStableFunc(r.faults, func(a, b Fault) int { return cmp.Compare(a.Line, b.Line) })
		return Settings{}, r.faults
	}
	return wire.value(), nil
}

// checkDistinct adds a fault for each entry of a section that has the same identity as an earlier
// one.
func checkDistinct[T any](r *reader, path string, list []T, identity func(T) string) {
	first := make(nameIndex, len(list))
	for i, v := range list {
		at := fmt.Sprintf("%s[%d]", path, i)
		if firstIndex, duplicate := first[identity(v)]; duplicate {
			r.addFault(at, r.lines[at], fmt.Sprintf("is the same as %s[%d]", path, firstIndex))
			continue
		}
		first[identity(v)] = i
	}
}

func (w wireSettings) value() Settings {
	s := Settings{
		Callers:   make(map[string]value.AccountName, len(w.Callers)),
		Operators: make(map[string]string, len(w.Operators)),
		Readers:   make(map[string]string, len(w.Readers)),
		Servers:   convert(w.Servers, wireServer.value),
		Instances: convert(w.Instances, wireInstance.value),
	}
	for _, c := range w.Callers {
		s.Callers[c.Hash] = value.AccountName(c.ClientAccount)
	}
	for _, o := range w.Operators {
		s.Operators[o.Hash] = o.Name
	}
	for _, o := range w.Readers {
		s.Readers[o.Hash] = o.Name
	}
	return s
}

func (w wireServer) value() value.BackendServer {
	return value.BackendServer{
		ID:            value.ServerID(w.ID),
		Address:       w.Address,
		Pool:          value.PoolName(w.Pool),
		FailureDomain: value.FailureDomain(w.FailureDomain),
		Versions:      convert(w.Versions, toName[value.VersionKey]),
		State:         value.ServerLive,
	}
}

func (w wireInstance) value() value.Instance {
	return value.Instance{
		ID:            value.InstanceID(w.ID),
		FailureDomain: value.FailureDomain(w.FailureDomain),
		PeerAddress:   w.PeerAddress,
		State:         value.InstanceLive,
	}
}

// hashLength is the length of a SHA-256 sum in bytes.
const hashLength = 32

// checkHash returns what is wrong with the text, or nothing if it is a SHA-256 sum in hexadecimal.
func checkHash(s string) string {
	sum, err := hex.DecodeString(s)
	if err != nil || len(sum) != hashLength {
		return "must be the SHA-256 sum of a key, as 64 hexadecimal digits"
	}
	return ""
}
