package peer

import (
	"context"
	"errors"

	"endivehitch/core/value"
)

// ErrUnreachable marks a call that certainly did not reach the other instance.
var ErrUnreachable = errors.New("instance not reached")

// Caller calls methods of other instances.
type Caller interface {
	// Call waits for the reply until the context ends; an error that does not wrap
	// ErrUnreachable leaves open whether the method ran.
	Call(ctx context.Context, to value.Instance, method string, args, reply any) error
}

// Registrar offers methods to other instances.
type Registrar interface {
	// Register offers the receiver's methods, as net/rpc defines them, under the name.
	Register(name string, receiver any) error
}
