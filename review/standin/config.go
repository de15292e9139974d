package main

const (
	hostName   = "ficu95.example"
	keyOfFirst = "n2ctnfzs989anu6wsjnb"
	firstName  = "hule930"
)

// route is a route as the operator writes it.
type route map[string]any

func streamRoute(prefix string, resumption bool, models ...string) route {
	r := route{
		"name": "stream" + prefix, "hostname": hostName, "prefix": prefix, "routeType": "streaming", "timeoutMs": 10000,
		"targetLatencyMs": 2000, "targetItlMs": 1200, "priorityClass": 0, "maxAttempts": 3, "backend": drafting,
		"sessionAffinity": true, "streamResumption": resumption,
	}
	if len(models) > 0 {
		r["sizeClasses"] = models
	}
	return r
}

func plainRoute(prefix, kind string, attempts int) route {
	return route{
		"name": kind + prefix, "hostname": hostName, "prefix": prefix, "routeType": kind, "timeoutMs": 3000,
		"targetLatencyMs": 300, "priorityClass": 2, "maxAttempts": attempts, "backend": reorder,
	}
}

// putConfig writes a version of the configuration as the operator does.
func (w *world) putConfig(version int, routes ...route) {
	w.store.put(word.Config, map[string]any{
		"version": version, "routes": routes,
		"backends": []map[string]any{
			{"name": drafting, "healthPath": "/healthz", "maxConnections": 360, "runtime": map[string]any{"capacitySlots": 64}},
			{"name": reorder, "healthPath": "/healthz", "maxConnections": 100},
		},
		"limits":  map[string]any{"maxHeaderBytes": 65536, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": firstName, "apiKeys": []string{keyOfFirst}}},
	})
	w.record.add("the operator writes version %d of the configuration", version)
}

// requestHeader returns the header of a client's request.
func requestHeader(id string, deadlineMs string) map[string]string {
	return map[string]string{attemptID: id, word.Deadline: deadlineMs, "Authorization": "Bearer " + keyOfFirst}
}
