// Command azuredoor-standin simulates an engine, a plain service or the weight store in tests.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"azuredoor.example/standin/upstream"
)

func main() {
	s := upstream.Parse(os.Args[1:])
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := upstream.Run(ctx, s)
	stop()
	if err != nil {
		fmt.Fprintf(os.Stderr, "azuredoor-standin: %v\n", err)
		os.Exit(1)
	}
}
