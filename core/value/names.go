package value

import "strings"

// AccountName names a client account.
type AccountName string

// ModelName names a model.
type ModelName string

// KindName names a kind of request.
type KindName string

// PoolName names a pool of backend servers.
type PoolName string

// ServiceName names a plain service: one that is not a model engine.
type ServiceName string

// RollOutName names a roll-out plan.
type RollOutName string

// FailureDomain names the failure domain that an instance or a backend server runs in.
type FailureDomain string

// ServerID identifies one backend server.
type ServerID string

// InstanceID identifies one running instance; a restarted instance gets a new identifier.
type InstanceID string

// SessionID identifies a caller's session.
type SessionID string

// RequestID identifies one request in the whole fleet.
type RequestID string

// IdempotencyKey is the key that a caller gives a request that must be executed at most once.
type IdempotencyKey string

// VersionKey identifies a version of a model, as "model/version".
type VersionKey string

const versionSeparator = "/"

// NewVersionKey joins a model's name and a version's name.
func NewVersionKey(model ModelName, version string) VersionKey {
	return VersionKey(string(model) + versionSeparator + version)
}

// Model returns the model's name, which is the part before the last separator.
func (k VersionKey) Model() ModelName {
	i := strings.LastIndex(string(k), versionSeparator)
	if i < 0 {
		return ModelName(k)
	}
	return ModelName(k[:i])
}

// Version returns the version's name, which is empty where the key has none.
func (k VersionKey) Version() string {
	i := strings.LastIndex(string(k), versionSeparator)
	if i < 0 {
		return ""
	}
	return string(k[i+1:])
}
