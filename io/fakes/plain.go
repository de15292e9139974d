package fakes

import (
	"fmt"
	"io"
	"net/http"
	"sync"
)

// PlainService is a fake backend server of a plain service, one that is not a model engine. It counts
// its effects; its zero value is ready for use.
type PlainService struct {
	// Name is part of each answer.
	Name string

	mu      sync.Mutex
	effects map[string]int
	fault   Fault
}

// Effects returns how often each request body has taken effect.
func (p *PlainService) Effects() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make(map[string]int, len(p.effects))
	for body, n := range p.effects {
		all[body] = n
	}
	return all
}

// SetFault makes all further calls fail in the given way; only FaultBusy and FaultReset have an
// effect.
func (p *PlainService) SetFault(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
}

// ServeHTTP applies one effect for each call, except under FaultBusy; FaultReset closes the
// connection after the effect.
func (p *PlainService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	fault, n := p.applyEffect(string(body))
	switch fault {
	case FaultBusy:
		http.Error(w, "busy", http.StatusServiceUnavailable)
	case FaultReset:
		panic(http.ErrAbortHandler)
	default:
		w.Header().Set("Content-Type", "text/plain")
		fmt.Fprintf(w, "%s: %s %s: effect %d", p.Name, r.Method, r.URL.Path, n)
	}
}

func (p *PlainService) applyEffect(body string) (Fault, int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fault == FaultBusy {
		return p.fault, 0
	}
	if p.effects == nil {
		p.effects = make(map[string]int)
	}
	p.effects[body]++
	return p.fault, p.effects[body]
}
