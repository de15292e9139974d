// Command endivehitch routes requests to versions of models and to plain services.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"endivehitch/io/shell"
	"endivehitch/io/shell/exit"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := shell.Run(ctx, os.Args, os.Stdout, os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(int(exit.CodeOf(err)))
	}
}
