// Package fakes holds stand-ins for backend servers and the platform's services, for demos and
// tests.
//
// Chat and PlainService are HTTP backend servers whose attempts a Fault makes fail, and a RawServer
// writes answers that no HTTP server would. Store is a
// key-value store with switchable StoreFaults over another store, and Etcd serves a store over the
// paths of etcd's JSON gateway. Mesh connects instances in memory through a Port each and applies a
// Delivery to each message. InstanceList, Ratings and Weights stand for the platform's other
// services.
package fakes
