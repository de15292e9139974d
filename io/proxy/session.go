package proxy

import (
	"sync"
	"time"

	"endivehitch/core/relay"
)

// sessions holds the release that each session's last request was assigned to, so that the session's next
// requests can stay at that release during a roll-out.
type sessions struct {
	lifetime time.Duration
	mu       sync.Mutex
	releases map[relay.SessionKey]sessionRelease
}

type sessionRelease struct {
	release  relay.Release
	lastUsed time.Time
}

func newSessions(lifetime time.Duration) *sessions {
	return &sessions{lifetime: lifetime, releases: make(map[relay.SessionKey]sessionRelease)}
}

// release returns the session's release, or "" when the session is unknown or has expired.
func (s *sessions) release(key relay.SessionKey, now time.Time) relay.Release {
	if key.Session == "" {
		return ""
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.releases[key]
	if now.Sub(last.lastUsed) > s.lifetime {
		return ""
	}
	return last.release
}

// remember stores the release for the session and renews the session.
func (s *sessions) remember(key relay.SessionKey, release relay.Release, now time.Time) {
	if key.Session == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releases[key] = sessionRelease{release, now}
}

// removeExpired removes the expired sessions.
func (s *sessions) removeExpired(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, last := range s.releases {
		if now.Sub(last.lastUsed) > s.lifetime {
			delete(s.releases, key)
		}
	}
}
