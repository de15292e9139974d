package peer

import (
	"context"
	"fmt"

	"endivehitch/core/value"
)

// Method is a typed method of other instances, named as Service.Method.
type Method[A, R any] struct {
	Name string
}

// Frame carries a message; it lets handlers keep their wire types unexported.
type Frame[T any] struct {
	Body T
}

// handleMethod is the method that net/rpc finds on each endpoint.
const handleMethod = ".Handle"

// Call sends the arguments and returns the reply; errors are those of Caller.
func (m Method[A, R]) Call(ctx context.Context, c Caller, to value.Instance, args A) (R, error) {
	var reply Frame[R]
	if err := c.Call(ctx, to, m.Name+handleMethod, &Frame[A]{Body: args}, &reply); err != nil {
		var none R
		return none, fmt.Errorf("call %s at %s: %w", m.Name, to.ID, err)
	}
	return reply.Body, nil
}

// Serve offers the method; the handler runs on a goroutine of its own for each call.
func (m Method[A, R]) Serve(r Registrar, handler func(A) (R, error)) error {
	if err := r.Register(m.Name, &endpoint[A, R]{handler: handler}); err != nil {
		return fmt.Errorf("register %s: %w", m.Name, err)
	}
	return nil
}

type endpoint[A, R any] struct {
	handler func(A) (R, error)
}

// Handle has the form that net/rpc asks for.
func (e *endpoint[A, R]) Handle(args *Frame[A], reply *Frame[R]) error {
	body, err := e.handler(args.Body)
	if err != nil {
		return err
	}
	reply.Body = body
	return nil
}
