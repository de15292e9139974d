package plat

import (
	"context"

	"endivehitch/core/value"
)

// StaticList is an InstanceList taken from the settings, for a platform without one.
type StaticList struct {
	ListedServers   []value.BackendServer
	ListedInstances []value.Instance
}

// Servers returns the backend servers from the settings.
func (f StaticList) Servers(context.Context) ([]value.BackendServer, error) {
	return f.ListedServers, nil
}

// Instances returns the instances from the settings.
func (f StaticList) Instances(context.Context) ([]value.Instance, error) {
	return f.ListedInstances, nil
}
