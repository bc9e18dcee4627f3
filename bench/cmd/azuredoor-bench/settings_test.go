package main

import (
	"errors"
	"flag"
	"fmt"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"azuredoor.example/core/settings"
)

var update = flag.Bool("update", false, "rewrite docs/settings.md")

const (
	pageFile = "../../../docs/settings.md"
	pageHead = `# Settings

Each setting is a flag and an environment variable; a flag goes before its variable. Unknown flags, unknown variables
with the program's prefix and values that are not allowed end the program with exit code 2 and one line that names the
setting. Each program prints its settings with ` + "`-help`" + `. Durations are written like ` + "`350ms`, `2s` or `10m0s`" + `; addresses
are IP numbers with a port. This page is written by the programs themselves: run
` + "`go test ./bench/cmd/azuredoor-bench -run TestSettingsPage -update`" + ` after changing a setting.
`
)

// program is a program, or one command of a program, and has a section of its own on the page.
type program struct {
	name, prefix string
	// command is the first argument, before the settings; it is empty for programs without commands.
	command string
}

func programs() []program {
	list := []program{
		{"azuredoor-entry", "AZUREDOOR_ENTRY", ""}, {"azuredoor-control", "AZUREDOOR_CONTROL", ""},
		{"azuredoorctl", "AZUREDOOR_CTL", ""}, {"azuredoor-standin", "AZUREDOOR_STANDIN", ""},
		{"azuredoor-platform-entry", "AZUREDOOR_WEB", ""}, {"azuredoor-platform-control", "AZUREDOOR_GROUP", ""},
	}
	for _, command := range slices.Sorted(maps.Keys(commands)) {
		list = append(list, program{"azuredoor-bench", "AZUREDOOR_BENCH", command})
	}
	return list
}

// TestSettingsPage guards against a settings page that lacks a setting, or that differs from the programs in the default,
// the meaning or the allowed values of a setting.
func TestSettingsPage(t *testing.T) {
	dir := t.TempDir()
	build := exec.Command("go", "build", "-o", dir+"/", "./entry/cmd/...", "./control/cmd/...", "./ctl/cmd/...", "./standin/cmd/...", "./bench/cmd/...", "./platform/cmd/...")
	build.Dir = "../../.."
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build the programs: %v\n%s", err, out)
	}
	var b strings.Builder
	b.WriteString(pageHead)
	for _, p := range programs() {
		p.writeSection(t, dir, &b)
	}
	if *update {
		if err := os.WriteFile(pageFile, []byte(b.String()), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	data, err := os.ReadFile(pageFile)
	if err != nil {
		t.Fatal(err)
	}
	got, want := strings.Split(string(data), "\n"), strings.Split(b.String(), "\n")
	for _, line := range want {
		if !slices.Contains(got, line) {
			t.Errorf("docs/settings.md lacks the line: %s", line)
		}
	}
	for _, line := range got {
		if !slices.Contains(want, line) {
			t.Errorf("docs/settings.md has a line that the programs do not print: %s", line)
		}
	}
	if !t.Failed() && string(data) != b.String() {
		t.Error("docs/settings.md has its lines in a different order from the programs' settings")
	}
}

var (
	helpEntry      = regexp.MustCompile(`(?m)^  -(\S+).*\n    \t(.*)$`)
	defaultText    = regexp.MustCompile(` \(default (.*)\)$`)
	invalidValue   = regexp.MustCompile(`invalid (?:value|boolean value) "\?" for .*?: (?:got "\?", )?(.*)`)
	missingSetting = regexp.MustCompile(`setting -(\S+) \((\S+)\) is missing`)
)

func (p program) writeSection(t *testing.T, dir string, b *strings.Builder) {
	t.Helper()
	p.checkPrefix(t, dir)
	fmt.Fprintf(b, "\n## %s\n\n| flag | environment variable | default | allowed | meaning |\n|---|---|---|---|---|\n", strings.TrimSpace(p.name+" "+p.command))
	required := p.requiredSettings(t, dir)
	help, _ := p.run(t, dir, nil, "-help")
	for _, entry := range helpEntry.FindAllStringSubmatch(help, -1) {
		name, meaning, defaultValue := entry[1], entry[2], "none"
		if match := defaultText.FindStringSubmatch(meaning); match != nil {
			defaultValue, meaning = "`"+strings.Trim(match[1], `"`)+"`", strings.TrimSuffix(meaning, match[0])
		}
		allowedText := p.allowedValues(t, dir, name)
		switch {
		case slices.Contains(required, name):
			defaultValue = "required"
		case defaultValue == "none" && allowedText == "true or false":
			defaultValue = "`false`"
		}
		variable := p.prefix + "_" + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
		fmt.Fprintf(b, "| `-%s` | `%s` | %s | %s | %s |\n", name, variable, defaultValue, allowedText, meaning)
	}
}

// checkPrefix verifies the prefix of the program's environment variables: the program must refuse an unknown variable
// with the prefix.
func (p program) checkPrefix(t *testing.T, dir string) {
	t.Helper()
	out, code := p.run(t, dir, []string{p.prefix + "_NO_SUCH_SETTING=1"}, "-help")
	if code != settings.ExitInvalid {
		t.Errorf("%s %s: got exit code %d for an unknown variable with prefix %s, want %d: %s", p.name, p.command, code, p.prefix, settings.ExitInvalid, out)
	}
}

// requiredSettings returns the names of the required settings. It runs the program repeatedly and adds each setting that
// the program reports as missing, until the program reports none.
func (p program) requiredSettings(t *testing.T, dir string) []string {
	t.Helper()
	if p.name == "azuredoor-bench" || p.name == "azuredoorctl" {
		// These programs would start to work if no setting were missing, and the required settings depend on the command.
		return nil
	}
	var names, args []string
	for {
		out, _ := p.run(t, dir, nil, args...)
		match := missingSetting.FindStringSubmatch(out)
		if match == nil || slices.Contains(names, match[1]) {
			return names
		}
		names, args = append(names, match[1]), append(args, "-"+match[1]+"=127.0.0.1:1")
	}
}

// allowedValues returns the values that the program allows for a setting. It passes the value "?", which only a text
// setting accepts, and reads the allowed values from the error message.
func (p program) allowedValues(t *testing.T, dir, name string) string {
	t.Helper()
	out, code := p.run(t, dir, nil, "-"+name+"=?", "-help")
	if code == 0 {
		return "text"
	}
	match := invalidValue.FindStringSubmatch(out)
	switch {
	case match == nil:
		t.Errorf("%s -%s=? got %q", p.name, name, out)
		return ""
	case strings.Contains(match[0], "boolean"):
		return "true or false"
	}
	return strings.TrimPrefix(match[1], "want ")
}

func (p program) run(t *testing.T, dir string, environ []string, args ...string) (string, int) {
	t.Helper()
	if p.command != "" {
		args = append([]string{p.command}, args...)
	}
	cmd := exec.Command(filepath.Join(dir, p.name), args...)
	// The program must not see settings in the environment of the test.
	cmd.Env = append([]string{}, environ...)
	out, err := cmd.CombinedOutput()
	if exit := (*exec.ExitError)(nil); err != nil && !errors.As(err, &exit) {
		t.Fatal(err)
	}
	return string(out), cmd.ProcessState.ExitCode()
}
