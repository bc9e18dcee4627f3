// Command azuredoorctl is the operators' command-line client of the control members.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"azuredoor.example/ctl/command"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := command.Main(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
