package main

import "time"

// Names of the configuration that the cases use.
const (
	host        = "desk.example"
	safePath    = "/status/"
	unsafePath  = "/order/"
	streamPath  = "/draft/"
	desk        = "desk"
	engines     = "engines"
	tenantKey   = "key-of-ward-7"
	tenantName  = "ward-7"
	plainSlots  = 6
	engineSlots = 64
)

type object = map[string]any

// operatorConfig returns the configuration of a small deployment: a plain service with a safe and an unsafe route, and engines
// with a route for streams that may be resumed.
func operatorConfig() object {
	route := func(name, prefix, kind, backend string, timeout, target, attempts int) object {
		return object{
			"name": name, "hostname": host, "prefix": prefix, "routeType": kind, "timeoutMs": timeout, "targetLatencyMs": target,
			"priorityClass": 1, "backend": backend, "maxAttempts": attempts, "anonymous": false,
		}
	}
	stream := route("draft", streamPath, "streaming", engines, 25000, 5000, 3)
	stream["streamResumption"], stream["targetItlMs"], stream["sessionAffinity"] = true, 1500, true
	service := func(name string) object {
		return object{"name": name, "healthPath": "/healthz", "maxConnections": 360, "protocol": "h1", "tlsConfig": false}
	}
	return object{
		"version": 7,
		"routes": []object{
			route("status", safePath, "safe", desk, 3000, 300, 2),
			route("order", unsafePath, "unsafe", desk, 3000, 300, 2),
			stream,
		},
		"backends": []object{service(desk), service(engines)},
		"limits":   object{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []object{{"name": tenantName, "apiKeys": []string{tenantKey}, "priorityClass": 1}},
	}
}

// serverEntry returns what a backend server writes of itself to the store.
func serverEntry(service, address, zone string, slots int, born time.Time, sequence int) object {
	return object{
		"backend": service, "address": address, "zone": zone, "version": "v1", "capacitySlots": slots, "state": "ready",
		"coldRemainingMs": 0, "sequence": sequence, "born": born.UnixMilli(),
	}
}
