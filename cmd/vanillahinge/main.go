// Command vanillahinge is the command-line tool for operators. It signs and
// publishes bundles, withdraws keys, checks settings and shows the decision
// records of instances.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/integrii/flaggy"
)

// version is set by the linker.
var version = "dev"

// Exit codes; docs/operators.md lists them.
const (
	exitOK       = 0
	exitFailed   = 1
	exitUsage    = 2
	exitRefused  = 3 // a document, key or settings file is invalid or was refused
	exitConflict = 4 // the bundle is older than, or lost a race to, the one in force
	exitUnknown  = 5 // the outcome is unknown, or the change is not in force everywhere yet
	exitNoAnswer = 6 // the instance or the store did not answer
	// The others are those of the command where.
	exitKeyGiven       = 7  // a key was given in place of an account's name
	exitUnknownRoute   = 8  // no route has the name
	exitUnknownAccount = 9  // no account has the name
	exitUnknownKind    = 10 // the kind of statement is unknown
)

// exitError is an error with the exit code of the process.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }
func (e *exitError) Unwrap() error { return e.err }

func withExitCode(code int, err error) error { return &exitError{code, err} }

func usageError(format string, args ...any) error {
	return withExitCode(exitUsage, fmt.Errorf(format, args...))
}

// tool holds the streams and common flags of one invocation.
type tool struct {
	in       io.Reader
	out, err io.Writer
	output   string
}

// command is a subcommand and the function that runs it.
type command struct {
	sub *flaggy.Subcommand
	run func() error
}

func main() {
	os.Exit(run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}

func run(args []string, in io.Reader, out, errw io.Writer) int {
	t := &tool{in: in, out: out, err: errw, output: "text"}
	p := flaggy.NewParser("vanillahinge")
	p.Description = "Operators' tool of vanillahinge."
	p.Version = version
	p.ShowCompletion = false
	p.ShowVersionWithVersionFlag = false
	p.AdditionalHelpAppend = "\nEach command has help with examples: vanillahinge bundle sign --help"
	p.String(&t.output, "o", "output", "Output format: text or json.")
	commands := t.commands(p)
	if err := p.ParseArgs(args); err != nil {
		return t.report(usageError("%w; see vanillahinge --help", err))
	}
	if t.output != "text" && t.output != "json" {
		return t.report(usageError("unknown output %q; use text or json", t.output))
	}
	for _, c := range commands {
		if c.sub.Used {
			return t.report(c.run())
		}
	}
	p.ShowHelp()
	return exitUsage
}

// report prints err, if any, and returns the exit code.
func (t *tool) report(err error) int {
	if err == nil {
		return exitOK
	}
	code := exitFailed
	var e *exitError
	if errors.As(err, &e) {
		code = e.code
	}
	if t.output == "json" {
		b, merr := json.Marshal(map[string]any{"error": err.Error(), "exit_code": code})
		if merr == nil {
			fmt.Fprintln(t.out, string(b))
			return code
		}
	}
	fmt.Fprintln(t.err, "vanillahinge:", err)
	return code
}

// print writes v if the output format is JSON, and text otherwise.
func (t *tool) print(v any, text string) error {
	if t.output == "json" {
		b, err := json.MarshalIndent(v, "", "  ")
		if err != nil {
			return fmt.Errorf("encode output: %w", err)
		}
		text = string(b)
	}
	if !strings.HasSuffix(text, "\n") {
		text += "\n"
	}
	_, err := io.WriteString(t.out, text)
	return err
}

// commands attaches all subcommands to the parser and returns them.
func (t *tool) commands(p *flaggy.Parser) []command {
	var out []command
	add := func(parent *flaggy.Subcommand, name, desc, examples string, setup func(sc *flaggy.Subcommand) func() error) {
		sc := flaggy.NewSubcommand(name)
		sc.Description = desc
		sc.AdditionalHelpAppend = "\nExamples:\n" + examples
		f := setup(sc)
		if parent == nil {
			p.AttachSubcommand(sc, 1)
		} else {
			parent.AttachSubcommand(sc, 1)
		}
		out = append(out, command{sc, f})
	}
	group := func(name, desc string) *flaggy.Subcommand {
		sc := flaggy.NewSubcommand(name)
		sc.Description = desc
		p.AttachSubcommand(sc, 1)
		return sc
	}

	b := group("bundle", "Write, sign, publish and follow bundles.")
	add(b, "validate", "Check a bundle or withdrawal, as YAML or as an envelope.",
		"  vanillahinge bundle validate bundle.yaml\n  vanillahinge bundle validate bundle.json --output json", t.bundleValidate)
	add(b, "sign", "Sign a document as its author.",
		"  vanillahinge bundle sign bundle.yaml --key anna.key --out bundle.json", t.bundleSign)
	add(b, "sign-off", "Sign off an envelope as the second operator.",
		"  vanillahinge bundle sign-off bundle.json --key bela.key", t.bundleSignOff)
	add(b, "publish", "Put a signed bundle in force.",
		"  vanillahinge bundle publish bundle.json --instance 10.0.0.1:6434", t.bundlePublish)
	add(b, "rollout", "Wait until every listed instance has a version in force.",
		"  vanillahinge bundle rollout --instance 10.0.0.1:6434\n  vanillahinge bundle rollout --instance 10.0.0.1:6434 --bundle-version 12 --timeout 15s", t.bundleRollout)
	add(b, "status", "Show what an instance has in force.",
		"  vanillahinge bundle status --instance 10.0.0.1:6434", t.bundleStatus)
	add(b, "diff", "Compare two documents, or one with the bundle in force.",
		"  vanillahinge bundle diff old.yaml new.yaml\n  vanillahinge bundle diff new.yaml --instance 10.0.0.1:6434", t.bundleDiff)
	add(b, "withdraw", "Withdraw the keys that a signed withdrawal lists; works while the store is down.",
		"  vanillahinge bundle withdraw withdrawal.json --instance 10.0.0.1:6434,10.0.0.2:6434", t.bundleWithdraw)
	add(b, "keygen", "Make an operator's key, or a token key.",
		"  vanillahinge bundle keygen --id anna --out anna.key\n  vanillahinge bundle keygen --token", t.bundleKeygen)
	add(b, "verifier", "Make the verifier of a client account's key, which is read from the standard input.",
		"  vanillahinge bundle verifier < key.txt", t.bundleVerifier)

	c := group("config", "Check settings.")
	add(c, "check", "Check a settings file and the files that it names.",
		"  vanillahinge config check /etc/vanillahinge/entry-1.yaml", t.configCheck)
	add(c, "print-defaults", "Print all settings with their defaults.",
		"  vanillahinge config print-defaults", t.configDefaults)

	add(nil, "explain", "Show the decisions of an instance.",
		"  vanillahinge explain --instance 10.0.0.1:6434 --group g1 --since 10m\n  vanillahinge explain --instance 10.0.0.1:6434 --session 262147\n  vanillahinge explain --instance 10.0.0.1:6434 --account booking --kind refusal --limit 20", t.explain)
	add(nil, "trace", "Follow a request through the logs of instances on the users' platform.",
		"  vanillahinge trace 2f7c01ab93d4e155 --files edge-1.log,edge-2.log", t.trace)
	add(nil, "where", "Show where a statement would go now, and why. Nothing is sent to the database.",
		"  vanillahinge where --instance 10.0.0.1:7561 --route orders --account acme --kind read\n  vanillahinge where --instance 10.0.0.1:7561 --route orders --account acme --kind write --follow --output json", t.where)
	r := group("report", "Reports.")
	add(r, "burn", "Report how fast service-level objectives are used up, over all given instances.",
		"  vanillahinge report burn --instance 10.0.0.1:6434,10.0.0.2:6434\n  vanillahinge report burn --instance 10.0.0.1:6434 --format html --out burn.html", t.reportBurn)
	add(nil, "version", "Print the version.", "  vanillahinge version", func(*flaggy.Subcommand) func() error {
		return func() error { return t.print(map[string]string{"version": version}, "vanillahinge "+version) }
	})
	return out
}
