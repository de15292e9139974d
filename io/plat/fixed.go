package plat

import (
	"context"

	"endivehitch/core/value"
)

// Fixed is an InstanceList taken from the settings, for a platform without one.
type Fixed struct {
	ListedServers   []value.BackendServer
	ListedInstances []value.Instance
}

// Servers returns the backend servers from the settings.
func (f Fixed) Servers(context.Context) ([]value.BackendServer, error) {
	return f.ListedServers, nil
}

// Instances returns the instances from the settings.
func (f Fixed) Instances(context.Context) ([]value.Instance, error) {
	return f.ListedInstances, nil
}
