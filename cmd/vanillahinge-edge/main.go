// Command vanillahinge-edge is an entry instance on the users' platform.
package main

import (
	"fmt"
	"os"

	"github.com/integrii/flaggy"

	"github.com/vanillahinge/vanillahinge/edge/app"
	"github.com/vanillahinge/vanillahinge/platform"
)

// version is set by the linker.
var version = "dev"

// Exit codes; docs/platform.md lists them.
const (
	exitFailed = 1
	exitUsage  = 2
)

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	file := os.Getenv(platform.SettingsEnvVar)
	check := false
	p := flaggy.NewParser("vanillahinge-edge")
	p.Description = "Entry instance of vanillahinge on the users' platform."
	p.Version = version
	p.String(&file, "s", "settings", "Settings file (JSON); default: the file named by "+platform.SettingsEnvVar+".")
	p.Bool(&check, "", "check", "Check the settings file and exit.")
	if err := p.ParseArgs(args); err != nil {
		fmt.Fprintln(os.Stderr, "vanillahinge-edge:", err)
		return exitUsage
	}
	if file == "" {
		fmt.Fprintln(os.Stderr, "vanillahinge-edge: no settings file; name it with --settings FILE or "+platform.SettingsEnvVar)
		return exitUsage
	}
	if check {
		if _, err := platform.LoadSettings(file); err != nil {
			fmt.Fprintln(os.Stderr, "vanillahinge-edge:", err)
			return exitUsage
		}
		return 0
	}
	if err := app.Run(file, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "vanillahinge-edge:", err)
		return exitFailed
	}
	return 0
}
