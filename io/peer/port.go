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
	// Call waits for the reply until the context ends. After an error that wraps ErrUnreachable, the
	// method certainly did not run; after any other error it may have run.
	Call(ctx context.Context, to value.Instance, method string, args, reply any) error
}

// Registrar registers methods that other instances can call.
type Registrar interface {
	// Register registers the receiver's methods under the name, by the rules of net/rpc.
	Register(name string, receiver any) error
}
