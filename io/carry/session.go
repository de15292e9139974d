package carry

import (
	"sync"
	"time"

	"endivehitch/core/relay"
)

// sessions remembers which release each session ran on last.
type sessions struct {
	life time.Duration
	mu   sync.Mutex
	last map[sessionKey]sessionPlace
}

type sessionKey struct {
	service relay.ServiceName
	session string
}

type sessionPlace struct {
	release relay.Release
	used    time.Time
}

func newSessions(life time.Duration) *sessions {
	return &sessions{life: life, last: make(map[sessionKey]sessionPlace)}
}

// release returns the session's release while the session lasts.
func (m *sessions) release(n relay.ServiceName, session string, now time.Time) relay.Release {
	if session == "" {
		return ""
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.last[sessionKey{n, session}]
	if now.Sub(p.used) > m.life {
		return ""
	}
	return p.release
}

// keep notes the release that runs the session's request.
func (m *sessions) keep(n relay.ServiceName, session string, r relay.Release, now time.Time) {
	if session == "" {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.last[sessionKey{n, session}] = sessionPlace{r, now}
}

// trim forgets sessions that have ended.
func (m *sessions) trim(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for k, p := range m.last {
		if now.Sub(p.used) > m.life {
			delete(m.last, k)
		}
	}
}
