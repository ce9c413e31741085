// Command vh-endpoint runs the stand-in for a database endpoint, with fault
// injection.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/integrii/flaggy"

	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/standin/endpoint"
)

// killCleanupTime is the time between an injected kill and the exit of the process.
const killCleanupTime = 50 * time.Millisecond

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "vh-endpoint:", err)
		os.Exit(1)
	}
}

// settingsFile returns the path given with -c or --config, or "". The file is
// loaded before the flags are parsed, so that flags override its values.
func settingsFile(args []string) string {
	for i, a := range args {
		if (a == "--config" || a == "-c") && i+1 < len(args) {
			return args[i+1]
		}
		if len(a) > 9 && a[:9] == "--config=" {
			return a[9:]
		}
	}
	return ""
}

func run() error {
	var cfg endpoint.Config
	path := settingsFile(os.Args[1:])
	if path != "" {
		data, err := os.ReadFile(path)
		if err != nil {
			return fmt.Errorf("cannot read settings file: %w", err)
		}
		if err := yaml.UnmarshalWithOptions(data, &cfg, yaml.Strict()); err != nil {
			return fmt.Errorf("invalid settings file %s: %w", path, err)
		}
	}
	id, group, term := string(cfg.ID), string(cfg.Group), uint64(cfg.Term)
	flaggy.SetName("vh-endpoint")
	flaggy.SetDescription("database endpoint stand-in: SQL, replication, VH commands and fault injection")
	flaggy.String(&path, "c", "config", "settings file (YAML); flags override it")
	flaggy.String(&id, "", "id", "endpoint id")
	flaggy.String(&group, "", "group", "group id")
	flaggy.String(&cfg.Listen, "", "listen", "listen address of the SQL port")
	flaggy.String(&cfg.FaultListen, "", "fault-listen", "listen address of the fault injection port (HTTP)")
	flaggy.String(&cfg.User, "", "user", "system user")
	flaggy.String(&cfg.Password, "", "password", "password of the system user")
	flaggy.UInt64(&term, "", "term", "initial term of a new group (default 1)")
	flaggy.String(&cfg.Primary, "", "primary", "SQL address of the primary; without it the endpoint starts as the primary")
	flaggy.Bool(&cfg.Idle, "", "idle", "start as a replica that waits for VH FOLLOW")
	flaggy.Bool(&cfg.Join, "", "join", "start as an endpoint that has lost its log")
	flaggy.String(&cfg.StateFile, "", "state-file", "file that persists the fence across restarts")
	flaggy.Int(&cfg.Slots, "", "slots", "maximum number of concurrent statements (default 3)")
	flaggy.Int(&cfg.MaxConnections, "", "max-connections", "maximum number of connections (default 40)")
	flaggy.Duration(&cfg.ConnectDelay, "", "connect-delay", "delay of each new connection (default 10ms)")
	flaggy.Duration(&cfg.ServiceTime, "", "service-time", "time for which a statement occupies its slot")
	flaggy.Bool(&cfg.AllowNoTerm, "", "allow-no-term", "accept connections that do not set vh.term")
	flaggy.String(&cfg.Dir, "", "dir", "parent directory of the temporary directory")
	flaggy.String(&cfg.LogLevel, "", "log-level", "log level (default info)")
	flaggy.Parse()
	cfg.ID, cfg.Group, cfg.Term = fleet.EndpointID(id), fleet.GroupID(group), fleet.Term(term)

	killed := make(chan struct{})
	cfg.OnKill = sync.OnceFunc(func() { close(killed) })
	e, err := endpoint.Start(cfg)
	if err != nil {
		return err
	}
	fmt.Printf("endpoint %s: sql %s faults %s\n", cfg.ID, e.Addr(), e.FaultAddr())
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-stop:
		return e.Close()
	case <-killed:
		// Exit with the status of a process ended by SIGKILL, so that clients see a
		// crash. Close runs only to remove the temporary files.
		go e.Close()
		time.Sleep(killCleanupTime)
		os.Exit(137)
	}
	return nil
}
