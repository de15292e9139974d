package peer

import (
	"context"
	"fmt"

	"endivehitch/core/value"
)

// Method is a remote method with argument type A and reply type R, named as Service.Method.
type Method[A, R any] struct {
	Name string
}

// Frame wraps a message. net/rpc requires exported argument and reply types; Frame lets other
// packages keep their message types unexported.
type Frame[T any] struct {
	Body T
}

// handleMethod is the suffix under which net/rpc registers the Handle method of an endpoint.
const handleMethod = ".Handle"

// Call calls the method at an instance and returns its reply; its errors wrap those of Caller.
func (m Method[A, R]) Call(ctx context.Context, c Caller, to value.Instance, args A) (R, error) {
	var reply Frame[R]
	if err := c.Call(ctx, to, m.Name+handleMethod, &Frame[A]{Body: args}, &reply); err != nil {
		var none R
		return none, fmt.Errorf("call %s at %s: %w", m.Name, to.ID, err)
	}
	return reply.Body, nil
}

// Serve registers the handler of the method; each call runs in its own goroutine.
func (m Method[A, R]) Serve(r Registrar, handler func(A) (R, error)) error {
	if err := r.Register(m.Name, &endpoint[A, R]{handler: handler}); err != nil {
		return fmt.Errorf("register %s: %w", m.Name, err)
	}
	return nil
}

// endpoint is the receiver that net/rpc calls for one method.
type endpoint[A, R any] struct {
	handler func(A) (R, error)
}

// Handle has the signature that net/rpc requires of a method.
func (e *endpoint[A, R]) Handle(args *Frame[A], reply *Frame[R]) error {
	body, err := e.handler(args.Body)
	if err != nil {
		return err
	}
	reply.Body = body
	return nil
}
