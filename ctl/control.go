package ctl

import (
	"sync"

	"github.com/vanillahinge/vanillahinge/core/fleet"
)

// Options describe the control connections of an instance.
type Options struct {
	Instance    fleet.InstanceID
	Credentials Credentials
	// OnEvent is called for each status and each connection failure, after the
	// waiters that the status releases. It must not block.
	OnEvent func(Event)
	// Watch holds the durations of the watches; its other fields are ignored.
	Watch WatchConfig
}

// Target is one endpoint to watch.
type Target struct {
	ID    fleet.EndpointID
	Group fleet.GroupID
	Addr  string
}

// Control watches a set of endpoints and tracks acknowledgements based on their
// status reports. It implements Acks.
type Control struct {
	*Tracker
	opts Options

	mu      sync.Mutex
	watches map[fleet.EndpointID]*Watch
}

// NewControl returns a control client without watched endpoints.
func NewControl(o Options) *Control {
	return &Control{Tracker: NewTracker(), opts: o, watches: map[fleet.EndpointID]*Watch{}}
}

// SetTargets starts and closes watches so that exactly these endpoints are
// watched. A changed address starts a new watch. Only the control goroutine
// calls it.
func (c *Control) SetTargets(targets []Target) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	wanted := map[fleet.EndpointID]Target{}
	groups := map[fleet.GroupID][]Endpoint{}
	for _, t := range targets {
		wanted[t.ID] = t
	}
	for id, w := range c.watches {
		if t, ok := wanted[id]; !ok || t.Addr != w.cfg.Addr || t.Group != w.cfg.Group {
			groups[w.cfg.Group] = nil
			delete(c.watches, id)
			// Close waits for a running callback, which may itself be blocked
			// on the caller: closing synchronously could deadlock.
			go w.Close()
		}
	}
	for _, t := range targets {
		w := c.watches[t.ID]
		if w == nil {
			cfg := c.opts.Watch
			cfg.Instance, cfg.Credentials = c.opts.Instance, c.opts.Credentials
			cfg.Endpoint, cfg.Group, cfg.Addr = t.ID, t.Group, t.Addr
			cfg.OnEvent = c.event
			var err error
			if w, err = StartWatch(cfg); err != nil {
				return err
			}
			c.watches[t.ID] = w
		}
		groups[t.Group] = append(groups[t.Group], Endpoint{ID: t.ID, Commands: w})
	}
	for g, es := range groups {
		c.SetEndpoints(g, es)
	}
	return nil
}

func (c *Control) event(e Event) {
	if e.Err == nil {
		c.Report(e.Status)
	}
	if c.opts.OnEvent != nil {
		c.opts.OnEvent(e)
	}
}

// Commands returns the VH commands of a watched endpoint.
func (c *Control) Commands(id fleet.EndpointID) (Commands, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w, ok := c.watches[id]
	if !ok {
		return nil, false
	}
	return w, true
}

// Close closes all watches and stops all confirmations.
func (c *Control) Close() {
	c.mu.Lock()
	watches := c.watches
	c.watches = map[fleet.EndpointID]*Watch{}
	c.mu.Unlock()
	for _, w := range watches {
		w.Close()
	}
	c.Tracker.Close()
}
