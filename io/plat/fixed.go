package plat

import (
	"context"

	"endivehitch/core/value"
)

// Fixed is an instance list that stands in the settings, where the platform shows none.
type Fixed struct {
	ListedServers   []value.BackendServer
	ListedInstances []value.Instance
}

// Servers returns the backend servers of the settings.
func (f Fixed) Servers(context.Context) ([]value.BackendServer, error) {
	return f.ListedServers, nil
}

// Instances returns the instances of the settings.
func (f Fixed) Instances(context.Context) ([]value.Instance, error) {
	return f.ListedInstances, nil
}
