// Package plat defines the interfaces to the platform's services, and implements them.
//
// For the key-value service, Reader has the queries, Writer the changes, and Store both. Etcd is
// the client of the platform's service, over the JSON gateway of etcd v3. Embedded is a store in
// memory, for one process and for tests. LimitedStore wraps either of them, limits the rate of
// calls, retries reads and settles changes whose answers were lost. InstanceList, RatingService and
// WeightStore are the platform's other services; StaticList is an InstanceList taken from the
// settings.
//
// Every call takes a context and ends with it. An error that wraps ErrUnknown leaves open whether
// the call took effect; one that wraps ErrUnavailable says that it did not.
package plat
