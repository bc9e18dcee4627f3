// Command azuredoor-soak injects seeded faults into a running system and checks its promises.
package main

import (
	"context"
	"fmt"
	"maps"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"azuredoor.example/core/settings"
	"azuredoor.example/soak"
)

func main() {
	var first, seeds, controls, entries, upstreams, callers int
	var duration time.Duration
	var root, dir string
	set := settings.New("azuredoor-soak", "AZUREDOOR_SOAK")
	set.Count(&first, "seed", 0, 0, 1<<40, "first seed; 0 takes the time of day")
	set.Count(&seeds, "seeds", 1, 1, 10_000, "number of seeds, one after the other")
	set.Period(&duration, "duration", 20*time.Second, time.Second, time.Hour, "time in which faults are injected")
	set.Count(&controls, "controls", 5, 1, 9, "members of the control group")
	set.Count(&entries, "entries", 4, 1, 200, "entries")
	set.Count(&upstreams, "upstreams", 4, 1, 200, "upstreams")
	set.Count(&callers, "callers", 24, 1, 2000, "callers that send one request after the other")
	set.Text(&root, "root", ".", "folder of the repository")
	set.Text(&dir, "dir", filepath.Join(os.TempDir(), "azuredoor-soak"), "folder for programs, data and logs")
	set.ParseOrExit(os.Args[1:], func() error { return nil })
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	if first == 0 {
		first = int(time.Now().UnixMilli())
	}
	code := run(ctx, root, soak.Options{
		Duration: duration, Bin: filepath.Join(dir, "bin"), Dir: dir, Controls: controls, Entries: entries, Upstreams: upstreams, Callers: callers,
	}, first, seeds)
	stop()
	os.Exit(code)
}

// run runs a soak for each seed and prints the results. It returns the exit code: 1 if a soak found a violation, 2 if a soak
// could not be run.
func run(ctx context.Context, root string, o soak.Options, first, seeds int) int {
	if err := soak.Build(ctx, root, o.Bin); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	code, dir := 0, o.Dir
	for seed := first; seed < first+seeds && ctx.Err() == nil; seed++ {
		var faultLines []string
		o.Seed, o.Dir = uint64(seed), filepath.Join(dir, fmt.Sprint("seed-", seed))
		o.LogFault = func(line string) { faultLines = append(faultLines, line) }
		report, err := soak.Run(ctx, o)
		if err != nil {
			fmt.Fprintf(os.Stderr, "seed %d: %v\n", seed, err)
			return 2
		}
		fmt.Printf("seed %d: %d broken promises; %d documents; faults %s; answers %s\n", seed, len(report.Violations), report.Documents, formatCounts(report.Faults), formatCounts(report.Responses))
		if len(report.Violations) == 0 {
			if err := os.RemoveAll(o.Dir); err != nil {
				fmt.Fprintln(os.Stderr, err)
			}
			continue
		}
		code = 1
		fmt.Printf("logs are in %s\n%s\n%s\n", o.Dir, strings.Join(faultLines, "\n"), strings.Join(report.Violations, "\n"))
	}
	return code
}

// formatCounts lists the counts of m, sorted by name.
func formatCounts(m map[string]int) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(m)) {
		parts = append(parts, fmt.Sprintf("%s: %d", name, m[name]))
	}
	return strings.Join(parts, ", ")
}
