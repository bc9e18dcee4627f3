// Command azuredoor-entry routes requests of callers to upstreams.
package main

import (
	"os"

	"azuredoor.example/entry/daemon"
)

func main() {
	config := &daemon.Config{}
	config.Settings().ParseOrExit(os.Args[1:], config.Check)
	os.Exit(daemon.Main(config))
}
