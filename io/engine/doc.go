// Package engine is the client side of backend servers: model engines and plain services.
//
// It holds the interfaces that the rest of the code calls, and HTTP, which implements them for the
// chat-completions format and plain HTTP. A Runner starts a Call and returns its Answer, which is
// read piece by piece; a Reporter reads load and cache events; a Commander sends load and unload
// orders; a CacheMover transfers KV caches. What decisions need of an answer (status, usage, kind
// of failure) is typed; the body passes through as bytes.
package engine
