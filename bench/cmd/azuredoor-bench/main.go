// Command azuredoor-bench runs the demo, the load tool, the scenarios and the capacity sweeps against real processes.
package main

import (
	"context"
	"fmt"
	"maps"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"

	"azuredoor.example/core/settings"
)

// commands maps the name of each command to its function, which parses the settings of the command.
var commands = map[string]func(ctx context.Context, args []string) error{
	"bench":    runBench,
	"capacity": runCapacity,
	"demo":     runDemo,
	"load":     runLoad,
}

func main() {
	if len(os.Args) < 2 || commands[os.Args[1]] == nil {
		names := strings.Join(slices.Sorted(maps.Keys(commands)), ", ")
		fmt.Fprintf(os.Stderr, "azuredoor-bench: want one of the commands %s\n", names)
		os.Exit(settings.ExitInvalid)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := commands[os.Args[1]](ctx, os.Args[2:])
	stop()
	if err != nil {
		fmt.Fprintf(os.Stderr, "azuredoor-bench %s: %v\n", os.Args[1], err)
		os.Exit(1)
	}
}
