package query

import "endivehitch/core/value"

// ShareKey identifies requests that may share one attempt (request coalescing).
type ShareKey struct {
	Account     value.AccountName
	Kind        value.KindName
	RequestHash uint64
	Pinned      value.VersionKey
	Quality     value.QualityClass
	MaxTokens   int
	Stream      bool
}

// CanShare reports whether the request may share the attempt of another one with the same ShareKey.
func CanShare(k value.Kind, r value.Request) bool {
	return k.Share && k.Idempotent && r.RequestHash != 0
}

// ShareKeyOf returns the request's key; it contains the pinned version, so that sessions on
// different versions do not share.
func ShareKeyOf(r value.Request) ShareKey {
	return ShareKey{
		Account: r.Account, Kind: r.Kind, RequestHash: r.RequestHash, Pinned: r.Pinned,
		Quality: r.Quality, MaxTokens: r.MaxTokens, Stream: r.Stream,
	}
}
