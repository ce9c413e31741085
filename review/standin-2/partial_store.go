package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// partialStore checks that no process ends by itself: a process that carried out a planned
// change is killed and started again while the store does not serve the table of servers.
func partialStore(w *world) int {
	w.setUp()
	g := w.groups[0]
	w.configure(1, route{"book", "primary", g.name, 0})
	for i, zone := range []string{"z1", "z2", "z3"} {
		w.fleet.add(fmt.Sprintf("edge-%s-1", zone), zone, instanceIP(i))
	}
	if !w.fleet.awaitReady(15 * time.Second) {
		return exitNotRun
	}
	stop := make(chan struct{})
	defer close(stop)
	for i := range 6 {
		go background(w, i, w.fleet.all[i%3].front, "book", "PUT other", stop)
	}
	time.Sleep(3 * time.Second)
	// The release of the primary is planned work, in both forms.
	g.members[0].drain()
	var l leadership
	if !await(5*time.Second, func() bool { l, _ = w.leadership(g.name); return !l.Settled && l.Holder != "" }) {
		w.rec.line("no claim")
		return exitNotRun
	}
	w.rec.line("claimed: %+v", l)
	ended := 0
	if w.trouble {
		var holder *instance
		for _, in := range w.fleet.all {
			if in.name == l.Holder {
				holder = in
			}
		}
		holder.signal(syscall.SIGKILL)
		<-holder.done
		w.store.mu.Lock()
		w.store.refuse = func(table string) bool { return table == "servers" }
		w.store.mu.Unlock()
		w.rec.line("the store answers 503 for the table of servers")
		back := time.Now().Add(4 * time.Second)
		time.Sleep(time.Second)
		// The platform starts a process that has ended again after a short delay.
		for time.Now().Before(back) {
			w.fleet.restart(holder)
			select {
			case <-holder.done:
				ended++
				w.rec.line("%s ended by itself: %s", holder.name, holder.lastPanic())
				time.Sleep(500 * time.Millisecond)
			case <-time.After(time.Until(back)):
			}
		}
		w.store.mu.Lock()
		w.store.refuse = nil
		w.store.mu.Unlock()
		w.rec.line("the store serves all tables")
	}
	time.Sleep(3 * time.Second)
	l, _ = w.leadership(g.name)
	w.rec.line("record: %+v; a process ended by itself %d times", l, ended)
	if ended > 0 {
		return exitBroken
	}
	return exitHeld
}

// lastPanic returns the first line of the last panic in the log of an instance.
func (in *instance) lastPanic() string {
	raw, err := os.ReadFile(filepath.Join(in.dir, "log"))
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(string(raw), "\n")
	for i := len(lines) - 1; i >= 0; i-- {
		if strings.HasPrefix(lines[i], "panic:") || strings.HasPrefix(lines[i], "fatal error:") {
			return strings.Join(lines[i:min(len(lines), i+9)], " | ")
		}
	}
	return "no panic in the log"
}
