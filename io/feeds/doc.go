// Package feeds keeps the control state up to date from the platform's store, and from other
// instances while the store is out of reach, and keeps the instance registered there.
package feeds
