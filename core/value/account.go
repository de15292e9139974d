package value

import "slices"

// ClientAccount is a customer of the operator, with the versions and the kinds of request that it may
// use.
type ClientAccount struct {
	Name AccountName
	// Share is the account's weight when the fleet is short of capacity.
	Share int
	// Versions lists the versions that the account's requests may run on.
	Versions []VersionKey
	// Kinds lists the kinds of request that the account may send.
	Kinds []KindName
	// MaxInFlight bounds the account's concurrent requests at one instance; zero means no bound.
	MaxInFlight int
}

// Allows reports whether the account may use the version.
func (a ClientAccount) Allows(v VersionKey) bool {
	return slices.Contains(a.Versions, v)
}

// MaySend reports whether the account may send requests of the kind.
func (a ClientAccount) MaySend(k KindName) bool {
	return slices.Contains(a.Kinds, k)
}

// WithShare returns a copy with another share.
func (a ClientAccount) WithShare(share int) ClientAccount {
	a.Share = share
	return a
}

// WithVersions returns a copy with another list of allowed versions.
func (a ClientAccount) WithVersions(versions ...VersionKey) ClientAccount {
	a.Versions = slices.Clone(versions)
	return a
}

// WithKinds returns a copy with another list of allowed kinds.
func (a ClientAccount) WithKinds(kinds ...KindName) ClientAccount {
	a.Kinds = slices.Clone(kinds)
	return a
}
