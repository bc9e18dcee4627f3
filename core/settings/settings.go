// Package settings parses and validates flags, environment variables and settings files.
package settings

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3"
)

// ExitInvalid is the exit code of a process whose settings are invalid.
const ExitInvalid = 2

// Set is a flag set whose flags can also be set by environment variables. The variable of a flag has the prefix of the set:
// flag "data-dir" with prefix "AZUREDOOR_CONTROL" is AZUREDOOR_CONTROL_DATA_DIR.
type Set struct {
	*flag.FlagSet
	prefix   string
	required []string
	file     string
}

// File sets the path of a settings file, which has a line "name value" for each setting. Flags and environment variables
// take precedence over the file. Unknown names in the file are ignored.
func (s *Set) File(path string) { s.file = path }

// New returns an empty set for a program. The prefix of environment variables has no trailing underscore.
func New(program, prefix string) *Set {
	fs := flag.NewFlagSet(program, flag.ContinueOnError)
	fs.SetOutput(io.Discard)
	return &Set{FlagSet: fs, prefix: prefix}
}

// Parse parses the arguments, the environment and the settings file. Parse returns flag.ErrHelp if help was requested. Any
// other error is one line with the setting, its value and the allowed values.
func (s *Set) Parse(args []string) error {
	if err := s.checkEnvironment(os.Environ()); err != nil {
		return err
	}
	options := []ff.Option{ff.WithEnvVarPrefix(s.prefix)}
	if s.file != "" {
		options = append(options, ff.WithConfigFile(s.file), ff.WithConfigFileParser(ff.PlainParser), ff.WithIgnoreUndefined(true))
	}
	if err := ff.Parse(s.FlagSet, args, options...); err != nil {
		return oneLine(err)
	}
	if s.NArg() > 0 {
		return fmt.Errorf("unexpected argument %q: settings are flags of the form -name=value", s.Arg(0))
	}
	for _, name := range s.required {
		if s.Lookup(name).Value.String() == "" {
			return fmt.Errorf("setting -%s (%s) is missing: want %s", name, s.envName(name), s.Lookup(name).Usage)
		}
	}
	return nil
}

// Usage returns the help text of all flags.
func (s *Set) Usage() string {
	var b strings.Builder
	fmt.Fprintf(&b, "Usage of %s:\n", s.Name())
	s.SetOutput(&b)
	s.PrintDefaults()
	s.SetOutput(io.Discard)
	return b.String()
}

// ParseOrExit parses the arguments of the process and runs the checks, which detect conflicts between settings.
// ParseOrExit exits with code 2 on invalid settings and with code 0 after printing help.
func (s *Set) ParseOrExit(args []string, checks ...func() error) {
	err := s.Parse(args)
	if errors.Is(err, flag.ErrHelp) {
		fmt.Print(s.Usage())
		os.Exit(0)
	}
	for _, check := range checks {
		if err == nil {
			err = check()
		}
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", s.Name(), err)
		os.Exit(ExitInvalid)
	}
}

func (s *Set) envName(name string) string {
	return s.prefix + "_" + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
}

// checkEnvironment rejects variables with the prefix of the set that belong to no flag. Otherwise, a misspelled variable
// would be ignored silently.
func (s *Set) checkEnvironment(environ []string) error {
	known := map[string]bool{}
	s.VisitAll(func(f *flag.Flag) { known[s.envName(f.Name)] = true })
	for _, pair := range environ {
		name, value, _ := strings.Cut(pair, "=")
		if strings.HasPrefix(name, s.prefix+"_") && !known[name] {
			return fmt.Errorf("unknown setting %s=%q: run %s -help for the known settings", name, value, s.Name())
		}
	}
	return nil
}

func oneLine(err error) error {
	if errors.Is(err, flag.ErrHelp) {
		return flag.ErrHelp
	}
	return errors.New(strings.Join(strings.Fields(err.Error()), " "))
}

// Required marks settings that must not be empty.
func (s *Set) Required(names ...string) { s.required = append(s.required, names...) }

// checkedValue is a flag.Value with validation.
type checkedValue struct {
	text string
	// set validates the text and stores the parsed value.
	set func(text string) error
}

// String implements flag.Value.
func (c *checkedValue) String() string { return c.text }

// Set implements flag.Value.
func (c *checkedValue) Set(text string) error {
	if err := c.set(text); err != nil {
		return fmt.Errorf("got %q, %w", text, err)
	}
	c.text = text
	return nil
}

// Address adds a setting for an address of the form IP:port. An empty default means no address.
func (s *Set) Address(target *string, name, value, usage string) {
	*target = value
	s.Var(&checkedValue{text: value, set: func(text string) error {
		if err := CheckAddress(text); err != nil {
			return err
		}
		*target = text
		return nil
	}}, name, usage)
}

// AddressList adds a setting for a comma-separated list of addresses of the form IP:port.
func (s *Set) AddressList(target *[]string, name, usage string) {
	s.Var(&checkedValue{set: func(text string) error {
		list := strings.Split(text, ",")
		for _, address := range list {
			if err := CheckAddress(address); err != nil {
				return err
			}
		}
		*target = list
		return nil
	}}, name, usage)
}

// CheckAddress returns an error unless text is IP:port with an IP address and a port from 1 to 65535.
func CheckAddress(text string) error {
	host, port, err := net.SplitHostPort(text)
	if err != nil {
		return errors.New("want IP:port")
	}
	if net.ParseIP(host) == nil {
		return errors.New("want IP:port with an IP number as host")
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return errors.New("want IP:port with a port from 1 to 65535")
	}
	return nil
}

// Period adds a duration setting from low to high, inclusive.
func (s *Set) Period(target *time.Duration, name string, value, low, high time.Duration, usage string) {
	*target = value
	s.Var(&checkedValue{text: value.String(), set: func(text string) error {
		d, err := time.ParseDuration(text)
		if err != nil || d < low || d > high {
			return fmt.Errorf("want a duration from %v to %v", low, high)
		}
		*target = d
		return nil
	}}, name, usage)
}

// Count adds an integer setting from low to high, inclusive.
func (s *Set) Count(target *int, name string, value, low, high int, usage string) {
	*target = value
	s.Var(&checkedValue{text: strconv.Itoa(value), set: func(text string) error {
		n, err := strconv.Atoi(text)
		if err != nil || n < low || n > high {
			return fmt.Errorf("want a whole number from %d to %d", low, high)
		}
		*target = n
		return nil
	}}, name, usage)
}

// Choice adds a setting with a fixed list of allowed values.
func (s *Set) Choice(target *string, name, value string, allowed []string, usage string) {
	*target = value
	s.Var(&checkedValue{text: value, set: func(text string) error {
		if !slices.Contains(allowed, text) {
			return fmt.Errorf("want one of %s", strings.Join(allowed, ", "))
		}
		*target = text
		return nil
	}}, name, usage)
}

// Text adds a text setting. By convention, the value is a path if the name ends in "-file".
func (s *Set) Text(target *string, name, value, usage string) {
	s.StringVar(target, name, value, usage)
}

// Pairs adds a setting for a comma-separated list of pairs of the form key=value, none of which is empty.
func (s *Set) Pairs(target *map[string]string, name, usage string) {
	s.Var(&checkedValue{set: func(text string) error {
		pairs := map[string]string{}
		for pair := range strings.SplitSeq(text, ",") {
			key, value, _ := strings.Cut(pair, "=")
			if text != "" && (key == "" || value == "") {
				return errors.New("want pairs of the form key=value, separated by commas")
			}
			if key != "" {
				pairs[key] = value
			}
		}
		*target = pairs
		return nil
	}}, name, usage)
}

// Secret reads a secret from a file and removes surrounding white space.
func Secret(setting, path string) (string, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return "", fmt.Errorf("setting -%s=%q: want a readable file: %w", setting, path, err)
	}
	secret := strings.TrimSpace(string(data))
	if len(secret) < minSecretBytes {
		return "", fmt.Errorf("setting -%s=%q: want a file with a secret of at least %d bytes", setting, path, minSecretBytes)
	}
	return secret, nil
}

const minSecretBytes = 16
