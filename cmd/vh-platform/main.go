// Command vh-platform runs the stand-in for the platform's service: table, object
// store and list of instances, with fault injection.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/goccy/go-yaml"
	"github.com/integrii/flaggy"

	"github.com/vanillahinge/vanillahinge/standin/table"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "vh-platform:", err)
		os.Exit(1)
	}
}

func run() error {
	var path string
	var flags table.Config
	flaggy.SetName("vh-platform")
	flaggy.SetDescription("platform stand-in: table, object store, list of instances and fault injection")
	flaggy.String(&path, "c", "config", "settings file (YAML); flags override it")
	flaggy.String(&flags.Listen, "", "listen", "listen address of the service (HTTP)")
	flaggy.String(&flags.FaultListen, "", "fault-listen", "listen address of the fault injection port (HTTP)")
	flaggy.Duration(&flags.Expiry, "", "expiry", "time without a heartbeat after which an instance is removed from the list (default 10s)")
	flaggy.Duration(&flags.Faults.Latency, "", "latency", "latency added to each request")
	flaggy.Duration(&flags.Faults.ListLag, "", "list-lag", "staleness of the list of instances")
	flaggy.Parse()
	var cfg table.Config
	if path != "" {
		data, err := os.ReadFile(path)
		if err != nil {
			return fmt.Errorf("cannot read settings file: %w", err)
		}
		if err := yaml.UnmarshalWithOptions(data, &cfg, yaml.Strict()); err != nil {
			return fmt.Errorf("invalid settings file %s: %w", path, err)
		}
	}
	override(&cfg.Listen, flags.Listen)
	override(&cfg.FaultListen, flags.FaultListen)
	override(&cfg.Expiry, flags.Expiry)
	override(&cfg.Faults.Latency, flags.Faults.Latency)
	override(&cfg.Faults.ListLag, flags.Faults.ListLag)

	s, err := table.Start(cfg)
	if err != nil {
		return err
	}
	fmt.Printf("platform: service %s faults %s\n", s.Addr(), s.FaultAddr())
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	<-stop
	return s.Close()
}

// override sets *dst to flag unless flag is the zero value, which means that the
// flag was not given.
func override[T comparable](dst *T, flag T) {
	var zero T
	if flag != zero {
		*dst = flag
	}
}
