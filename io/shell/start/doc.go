// Package start holds the commands that run instances: serve, demo and edge.
//
// Serve runs one instance with its listeners for callers, operators and other instances; its flags
// are read into options. Demo runs three such instances and stand-in backend servers in one process
// and sends requests through them. Edge runs the instance that package boot assembles from the
// platform's settings file.
package start
