// Command vanillahinged runs a proxy instance.
package main

import (
	"fmt"
	"os"

	"github.com/integrii/flaggy"

	"github.com/vanillahinge/vanillahinge/daemon"
	"github.com/vanillahinge/vanillahinge/daemon/config"
	"github.com/vanillahinge/vanillahinge/daemon/logging"
)

// version is set by the linker.
var version = "dev"

// Exit codes; docs/operators.md lists them.
const (
	exitFailed   = 1
	exitUsage    = 2
	exitSettings = 3
)

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	var file string
	p := flaggy.NewParser("vanillahinged")
	p.Description = "Proxy instance of vanillahinge: a database proxy with session consistency."
	p.Version = version
	p.AdditionalHelpAppend = "\nExample:\n  vanillahinged --config /etc/vanillahinge/entry-1.yaml\n\nPrint all settings with their defaults: vanillahinge config print-defaults"
	p.String(&file, "c", "config", "Settings file (YAML).")
	if err := p.ParseArgs(args); err != nil {
		fmt.Fprintln(os.Stderr, "vanillahinged:", err)
		return exitUsage
	}
	if file == "" {
		fmt.Fprintln(os.Stderr, "vanillahinged: no settings file; give its path with --config FILE")
		return exitUsage
	}
	s, err := config.Load(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, "vanillahinged:", err)
		return exitSettings
	}
	d, err := daemon.New(s, logging.New(os.Stderr, s.Log.Level), version)
	if err != nil {
		fmt.Fprintln(os.Stderr, "vanillahinged:", err)
		return exitFailed
	}
	if err := d.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "vanillahinged:", err)
		return exitFailed
	}
	return 0
}
