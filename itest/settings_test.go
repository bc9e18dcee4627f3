package itest

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// TestRefusedSettings guards against a process that starts although a setting is unknown, missing or in conflict with
// another setting. The process must exit with code 2 and print one line that names the setting.
func TestRefusedSettings(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	secret, short := filepath.Join(dir, "secret"), filepath.Join(dir, "short")
	for path, text := range map[string]string{secret: "a secret that is long enough", short: "short"} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	entry := []string{
		"-name=e", "-listen=127.0.0.1:8080", "-peer-listen=127.0.0.1:7201", "-upstream-listen=127.0.0.1:8081", "-monitor-listen=127.0.0.1:8082",
		"-control=127.0.0.1:7101", "-failure-domain=d", "-region=r", "-fleet-secret-file=" + secret, "-join-token-file=" + secret,
	}
	control := []string{
		"-name=c", "-listen=127.0.0.1:7101", "-admin-listen=127.0.0.1:7102", "-data-dir=" + dir, "-failure-domain=d", "-region=r",
		"-fleet-secret-file=" + secret, "-operator-tokens-file=" + secret,
	}
	tests := []struct {
		name, program string
		args          []string
		env           string
		want          string
	}{
		{"entry, unknown flag", "azuredoor-entry", append(entry[:len(entry):len(entry)], "-colour=red"), "", "colour"},
		{"entry, unknown variable", "azuredoor-entry", entry, "AZUREDOOR_ENTRY_COLOUR=red", "AZUREDOOR_ENTRY_COLOUR"},
		{"entry, missing", "azuredoor-entry", entry[1:], "", "-name"},
		{"entry, host name", "azuredoor-entry", append(entry[:len(entry):len(entry)], "-listen=entry:80"), "", "entry:80"},
		{"entry, bad policy", "azuredoor-entry", append(entry[:len(entry):len(entry)], "-policy=best"), "", "full, naive"},
		{"entry, contradiction", "azuredoor-entry", append(entry[:len(entry):len(entry)], "-listen=127.0.0.1:7201"), "", "-listen"},
		{"entry, no secret file", "azuredoor-entry", append(entry[:len(entry):len(entry)], "-fleet-secret-file="+dir+"/none"), "", "-fleet-secret-file"},
		{"entry, short secret", "azuredoor-entry", append(entry[:len(entry):len(entry)], "-join-token-file="+short), "", "at least 16 bytes"},
		{"control, missing", "azuredoor-control", control[1:], "", "-name"},
		{"control, any address", "azuredoor-control", append(control[:len(control):len(control)], "-listen=0.0.0.0:7101"), "", "0.0.0.0:7101"},
		{"control, bad count", "azuredoor-control", append(control[:len(control):len(control)], "-snapshot-entries=0"), "", "10 to 10000000"},
		{"control, bad tokens", "azuredoor-control", control, "", "-operator-tokens-file"},
	}
	for _, test := range tests {
		command := exec.Command(filepath.Join(programDir, test.program), test.args...)
		command.Env = append(os.Environ(), test.env)
		out, err := command.CombinedOutput()
		var exit *exec.ExitError
		if !errors.As(err, &exit) || exit.ExitCode() != 2 {
			t.Errorf("%s: got %v, want exit code 2: %s", test.name, err, out)
		}
		if text := string(out); strings.Count(text, "\n") != 1 || !strings.Contains(text, test.want) {
			t.Errorf("%s: got %q, want one line with %q", test.name, text, test.want)
		}
	}
}
