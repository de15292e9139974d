package relay

// SessionKey identifies the session of a caller at one service.
type SessionKey struct {
	Service ServiceName
	Session string
}

// SessionUse reports the release to which a request of a session was sent.
type SessionUse struct {
	Key     SessionKey
	Release Release
}
