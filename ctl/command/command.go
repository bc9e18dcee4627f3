// Package command implements the commands of azuredoorctl.
package command

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"azuredoor.example/core/settings"
	"azuredoor.example/ctl/client"
)

// Exit codes.
const (
	exitDone        = 0
	exitFailed      = 1
	exitUsage       = 2
	exitConflict    = 3
	exitNotFound    = 4
	exitUnavailable = 5
)

const (
	minTimeout     = 100 * time.Millisecond
	defaultTimeout = 10 * time.Second
	maxTimeout     = 10 * time.Minute
)

// invocation is one run of azuredoorctl.
type invocation struct {
	client *client.Client
	out    io.Writer
	// args are the arguments after the name of the command.
	args []string

	members               []string
	tokenFile             string
	timeout               time.Duration
	json                  bool
	file                  string
	customer, name        string
	after, limit          int
	address, adminAddress string
	failureDomain         string
	withdraw              bool
}

// command describes a command of azuredoorctl.
type command struct {
	name []string
	// arguments and summary appear in the help.
	arguments, summary string
	minArgs, maxArgs   int
	// flags are the names of the flags that the command accepts in addition to globalFlags.
	flags []string
	run   func(*invocation, context.Context) error
}

var memberFlags = []string{"name", "address", "admin-address", "failure-domain"}

var commands = []command{
	{[]string{"bootstrap"}, "", "start a new control group on the first member", 0, 0, nil, (*invocation).bootstrap},
	{[]string{"get"}, "[kind [name]]", "show objects", 0, 2, []string{"json"}, (*invocation).get},
	{[]string{"apply"}, "-file doc.json", "put all objects of a document in one change", 0, 0, []string{"file"}, (*invocation).apply},
	{[]string{"delete"}, "kind name", "delete an object", 2, 2, nil, (*invocation).delete},
	{[]string{"key", "create"}, "-customer C [-name N]", "make a key and print it once", 0, 0, []string{"customer", "name", "json"}, (*invocation).keyCreate},
	{[]string{"key", "withdraw"}, "name", "make a key stop working", 1, 1, nil, (*invocation).keyWithdraw},
	{[]string{"upstream", "list"}, "", "show upstreams", 0, 0, []string{"json"}, (*invocation).upstreamList},
	{[]string{"upstream", "drain"}, "id", "send no new work to an upstream", 1, 1, nil, setDesiredState("draining")},
	{[]string{"upstream", "start"}, "id", "send work to an upstream", 1, 1, nil, setDesiredState("active")},
	{[]string{"upstream", "stop"}, "id", "send no work to an upstream and end its running work", 1, 1, nil, setDesiredState("stopped")},
	{[]string{"upstream", "remove"}, "id", "forget an upstream", 1, 1, nil, (*invocation).upstreamRemove},
	{[]string{"evacuate"}, "[-withdraw] [domain]", "send nothing new to the upstreams of a failure domain, or show the evacuations in force", 0, 1, []string{"withdraw", "json"}, (*invocation).evacuate},
	{[]string{"member", "list"}, "", "show control members", 0, 0, []string{"json"}, (*invocation).memberList},
	{[]string{"member", "add"}, "-name N -address A -admin-address A -failure-domain F", "add a control member", 0, 0, memberFlags, (*invocation).memberAdd},
	{[]string{"member", "remove"}, "id", "remove a control member", 1, 1, nil, (*invocation).memberRemove},
	{[]string{"member", "replace"}, "id -name N -address A -admin-address A -failure-domain F", "replace a control member", 1, 1, memberFlags, (*invocation).memberReplace},
	{[]string{"history"}, "[-after REVISION] [-limit N]", "show changes with author and time", 0, 0, []string{"after", "limit", "json"}, (*invocation).history},
	{[]string{"status"}, "", "show the fleet on one screen", 0, 0, []string{"json"}, (*invocation).status},
}

var globalFlags = []string{"members", "token-file", "timeout"}

// usageError is an invalid command line.
type usageError struct{ text string }

func (e *usageError) Error() string { return e.text }

func usagef(format string, args ...any) error { return &usageError{fmt.Sprintf(format, args...)} }

// Main runs the command that args name and returns the exit code.
func Main(ctx context.Context, args []string, out, errOut io.Writer) int {
	err := execute(ctx, args, out)
	if err == nil {
		return exitDone
	}
	code, advice := exitCodeAndAdvice(err)
	if _, printErr := fmt.Fprintf(errOut, "azuredoorctl: %v\n%s", err, advice); printErr != nil {
		return exitFailed
	}
	return code
}

func execute(ctx context.Context, args []string, out io.Writer) error {
	inv := &invocation{out: out}
	set := settings.New("azuredoorctl", "AZUREDOOR_CTL")
	inv.defineFlags(set)
	flags, names, words := splitArgs(set, args)
	err := set.Parse(flags)
	if errors.Is(err, flag.ErrHelp) || err == nil && len(words) == 1 && words[0] == "help" {
		_, err = io.WriteString(out, help(set))
		return eris.Wrap(err, "print the help")
	}
	if err != nil {
		return &usageError{err.Error()}
	}
	c, err := findCommand(words)
	if err != nil {
		return err
	}
	inv.args = words[len(c.name):]
	if err := c.checkArgs(inv.args, names); err != nil {
		return err
	}
	if len(inv.members) == 0 {
		return usagef("setting -members (AZUREDOOR_CTL_MEMBERS) is missing: want admin addresses IP:port, separated by commas")
	}
	token, err := settings.Secret("token-file", inv.tokenFile)
	if err != nil {
		return &usageError{err.Error()}
	}
	inv.client = client.New(client.Config{Members: inv.members, Token: token, Timeout: inv.timeout})
	return c.run(inv, ctx)
}

func (inv *invocation) defineFlags(set *settings.Set) {
	set.AddressList(&inv.members, "members", "admin addresses of control members, separated by commas")
	set.Text(&inv.tokenFile, "token-file", "", "file with the operator token")
	set.Period(&inv.timeout, "timeout", defaultTimeout, minTimeout, maxTimeout, "longest time for one command")
	set.BoolVar(&inv.json, "json", false, "print JSON")
	set.BoolVar(&inv.withdraw, "withdraw", false, "withdraw the evacuation")
	set.Text(&inv.file, "file", "", "document to apply")
	set.Text(&inv.customer, "customer", "", "customer of the key")
	set.Text(&inv.name, "name", "", "name of the key or member")
	set.Count(&inv.after, "after", 0, 0, 1<<62, "show changes after this revision")
	set.Count(&inv.limit, "limit", 50, 1, 1000, "largest number of changes")
	set.Address(&inv.address, "address", "", "gRPC address of the member")
	set.Address(&inv.adminAddress, "admin-address", "", "admin address of the member")
	set.Text(&inv.failureDomain, "failure-domain", "", "failure domain of the member")
}

// splitArgs separates the flags, which may precede or follow the command, from the words of the command and its
// arguments. names holds the names of the flags.
func splitArgs(set *settings.Set, args []string) (flags, names, words []string) {
	for i := 0; i < len(args); i++ {
		if !strings.HasPrefix(args[i], "-") {
			words = append(words, args[i])
			continue
		}
		name := flagName(args[i])
		flags, names = append(flags, args[i]), append(names, name)
		f := set.Lookup(name)
		if f == nil || strings.Contains(args[i], "=") || i+1 == len(args) {
			continue
		}
		if boolean, ok := f.Value.(interface{ IsBoolFlag() bool }); ok && boolean.IsBoolFlag() {
			continue
		}
		i++
		flags = append(flags, args[i])
	}
	return flags, names, words
}

func flagName(arg string) string {
	name, _, _ := strings.Cut(strings.TrimLeft(arg, "-"), "=")
	return name
}

func findCommand(words []string) (*command, error) {
	for i, c := range commands {
		if len(words) >= len(c.name) && slices.Equal(words[:len(c.name)], c.name) {
			return &commands[i], nil
		}
	}
	if len(words) == 0 {
		return nil, usagef("a command is missing: run azuredoorctl help for the list")
	}
	return nil, usagef("unknown command %q: run azuredoorctl help for the list", strings.Join(words, " "))
}

func (c *command) checkArgs(args, flags []string) error {
	if len(args) < c.minArgs || len(args) > c.maxArgs {
		return usagef("want: azuredoorctl %s", c.usage())
	}
	for _, name := range flags {
		if !slices.Contains(globalFlags, name) && !slices.Contains(c.flags, name) {
			return usagef("the command does not take -%s; want: azuredoorctl %s", name, c.usage())
		}
	}
	return nil
}

func (c *command) usage() string {
	return strings.TrimSpace(strings.Join(c.name, " ") + " " + c.arguments)
}

func help(set *settings.Set) string {
	var b strings.Builder
	b.WriteString("azuredoorctl [flags] command\n\nCommands:\n")
	for i := range commands {
		fmt.Fprintf(&b, "  %s\n        %s\n", commands[i].usage(), commands[i].summary)
	}
	b.WriteString("\nExit codes: 0 done, 1 failed, 2 usage or settings, 3 conflict, 4 not found, 5 unavailable\n\n")
	b.WriteString(set.Usage())
	return b.String()
}

// exitCodeAndAdvice returns the exit code for err and a hint for the operator.
func exitCodeAndAdvice(err error) (code int, advice string) {
	var usage *usageError
	if errors.As(err, &usage) {
		return exitUsage, ""
	}
	var refusal *client.Error
	if !errors.As(err, &refusal) {
		return exitFailed, ""
	}
	switch refusal.Kind {
	case client.Conflict:
		if refusal.Code != "conflict" {
			return exitConflict, "Nothing was changed. Check with azuredoorctl status and member list.\n"
		}
		var b strings.Builder
		for _, object := range refusal.Current {
			fmt.Fprintf(&b, "now: %s %s version %d %s\n", object.Kind, object.Name, object.Version, object.Spec)
		}
		b.WriteString("Nothing was changed. Read the objects with azuredoorctl get, merge, and apply with the present versions.\n")
		return exitConflict, b.String()
	case client.NotFound:
		return exitNotFound, "List what exists with azuredoorctl get, upstream list or member list.\n"
	case client.Unavailable:
		if refusal.OutcomeUnknown {
			return exitUnavailable, "The outcome is unknown: the change may have been made. Check with azuredoorctl history before repeating it.\n"
		}
		return exitUnavailable, "No change was made. Check -members and that a majority of the control members runs, then repeat.\n"
	}
	switch refusal.Code {
	case "unauthorized", "unauthenticated":
		return exitFailed, "Check -token-file.\n"
	case "forbidden":
		return exitFailed, "The token may only read; use one with the role write.\n"
	case "invalid":
		return exitFailed, "Nothing was changed. Correct the document and apply it again.\n"
	}
	return exitFailed, ""
}

func (inv *invocation) printJSON(value any) error {
	encoder := json.NewEncoder(inv.out)
	encoder.SetIndent("", "  ")
	return eris.Wrap(encoder.Encode(value), "print")
}

func (inv *invocation) printf(format string, args ...any) error {
	_, err := fmt.Fprintf(inv.out, format, args...)
	return eris.Wrap(err, "print")
}
