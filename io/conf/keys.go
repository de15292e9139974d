package conf

import "endivehitch/core/value"

const keyPrefix = "endivehitch/"

// Prefix returns the prefix of the keys under which the environment's configuration is stored.
func Prefix(e value.Environment) string {
	return keyPrefix + string(e) + "/config/"
}

// DocumentKey returns the key of the environment's document.
func DocumentKey(e value.Environment) string {
	return Prefix(e) + "document"
}

// RollOutKey returns the key of the roll-out's progress in the environment.
func RollOutKey(e value.Environment, n value.RollOutName) string {
	return Prefix(e) + "rollout/" + string(n)
}

// WithdrawalKey returns the key of the version's withdrawal in the environment.
func WithdrawalKey(e value.Environment, v value.VersionKey) string {
	return Prefix(e) + "withdrawn/" + string(v)
}
