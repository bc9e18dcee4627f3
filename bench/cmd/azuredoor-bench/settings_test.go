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

// program is one section of the page.
type program struct {
	name, prefix string
	// command is a word before the settings.
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

// TestSettingsPage guards against a page that lacks a setting or states another default, meaning or bound than the
// programs have.
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
		p.section(t, dir, &b)
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
			t.Errorf("docs/settings.md lacks: %s", line)
		}
	}
	for _, line := range got {
		if !slices.Contains(want, line) {
			t.Errorf("docs/settings.md has a line that the programs don't: %s", line)
		}
	}
	if !t.Failed() && string(data) != b.String() {
		t.Error("docs/settings.md has its lines in another order")
	}
}

var (
	helpEntry   = regexp.MustCompile(`(?m)^  -(\S+).*\n    \t(.*)$`)
	defaultText = regexp.MustCompile(` \(default (.*)\)$`)
	refusal     = regexp.MustCompile(`invalid (?:value|boolean value) "\?" for .*?: (?:got "\?", )?(.*)`)
	missing     = regexp.MustCompile(`setting -(\S+) \((\S+)\) is missing`)
)

func (p program) section(t *testing.T, dir string, b *strings.Builder) {
	t.Helper()
	p.checkPrefix(t, dir)
	fmt.Fprintf(b, "\n## %s\n\n| flag | environment variable | default | allowed | meaning |\n|---|---|---|---|---|\n", strings.TrimSpace(p.name+" "+p.command))
	required := p.required(t, dir)
	help, _ := p.run(t, dir, nil, "-help")
	for _, entry := range helpEntry.FindAllStringSubmatch(help, -1) {
		name, meaning, standard := entry[1], entry[2], "none"
		if match := defaultText.FindStringSubmatch(meaning); match != nil {
			standard, meaning = "`"+strings.Trim(match[1], `"`)+"`", strings.TrimSuffix(meaning, match[0])
		}
		allowed := p.allowed(t, dir, name)
		switch {
		case slices.Contains(required, name):
			standard = "required"
		case standard == "none" && allowed == "true or false":
			standard = "`false`"
		}
		variable := p.prefix + "_" + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
		fmt.Fprintf(b, "| `-%s` | `%s` | %s | %s | %s |\n", name, variable, standard, allowed, meaning)
	}
}

// checkPrefix proves the prefix of the environment variables by one that no setting has.
func (p program) checkPrefix(t *testing.T, dir string) {
	t.Helper()
	out, code := p.run(t, dir, []string{p.prefix + "_NO_SUCH_SETTING=1"}, "-help")
	if code != settings.ExitInvalid {
		t.Errorf("%s %s: got exit code %d for an unknown variable with prefix %s, want %d: %s", p.name, p.command, code, p.prefix, settings.ExitInvalid, out)
	}
}

// required gives the program one missing setting after the other until it misses none.
func (p program) required(t *testing.T, dir string) []string {
	t.Helper()
	if p.name == "azuredoor-bench" || p.name == "azuredoorctl" {
		// They would start to work; what they need depends on the command.
		return nil
	}
	var names, args []string
	for {
		out, _ := p.run(t, dir, nil, args...)
		match := missing.FindStringSubmatch(out)
		if match == nil || slices.Contains(names, match[1]) {
			return names
		}
		names, args = append(names, match[1]), append(args, "-"+match[1]+"=127.0.0.1:1")
	}
}

// allowed asks the program what a setting may hold by a value that only a text can be.
func (p program) allowed(t *testing.T, dir, name string) string {
	t.Helper()
	out, code := p.run(t, dir, nil, "-"+name+"=?", "-help")
	if code == 0 {
		return "text"
	}
	match := refusal.FindStringSubmatch(out)
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
	// Settings of the tester's environment must not reach the program.
	cmd.Env = append([]string{}, environ...)
	out, err := cmd.CombinedOutput()
	if exit := (*exec.ExitError)(nil); err != nil && !errors.As(err, &exit) {
		t.Fatal(err)
	}
	return string(out), cmd.ProcessState.ExitCode()
}
