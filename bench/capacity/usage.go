package capacity

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// clockTicks is USER_HZ, the number of clock ticks per second in the times of /proc/PID/stat. USER_HZ is 100 on all
// Linux platforms that Go supports.
const clockTicks = 100

// usage is the resource usage of a process.
type usage struct {
	// cpu is the total user and system time.
	cpu time.Duration
	// resident is the resident memory (VmRSS) in bytes.
	resident float64
}

// readUsage reads the usage of a process from /proc/PID/stat and /proc/PID/status.
func readUsage(pid int) (usage, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return usage{}, eris.Wrap(err, "read the CPU time")
	}
	cpu, err := parseStat(data)
	if err != nil {
		return usage{}, err
	}
	if data, err = os.ReadFile(fmt.Sprintf("/proc/%d/status", pid)); err != nil {
		return usage{}, eris.Wrap(err, "read the memory")
	}
	resident, err := parseStatus(data)
	return usage{cpu, resident}, err
}

// parseStat returns the sum of user and system time in the contents of /proc/PID/stat. The command name, in parentheses,
// may contain spaces and parentheses, so the fields are counted from the last closing parenthesis.
func parseStat(data []byte) (time.Duration, error) {
	end := bytes.LastIndexByte(data, ')')
	fields := strings.Fields(string(data[end+1:]))
	if end < 0 || len(fields) < 13 {
		return 0, eris.Errorf("parse /proc/PID/stat: got %q, want a command name in parentheses and at least 13 fields", data)
	}
	ticks := int64(0)
	for _, field := range fields[11:13] {
		n, err := strconv.ParseInt(field, 10, 64)
		if err != nil {
			return 0, eris.Wrap(err, "parse a CPU time")
		}
		ticks += n
	}
	return time.Duration(ticks) * time.Second / clockTicks, nil
}

// parseStatus returns the resident memory in bytes in the contents of /proc/PID/status.
func parseStatus(data []byte) (float64, error) {
	for line := range strings.Lines(string(data)) {
		if text, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kilobytes, err := strconv.ParseFloat(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(text), "kB")), 64)
			return kilobytes * 1024, eris.Wrap(err, "parse the resident memory")
		}
	}
	return 0, eris.New("the process status has no VmRSS")
}
