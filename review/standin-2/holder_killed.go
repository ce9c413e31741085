package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// leadership is what the fleet has stored of a service's primary.
type leadership struct {
	Settled  bool
	Holder   string
	Primary  string
	Users    []string
	Revision uint64
}

func (w *world) leadership(service string) (l leadership, ver uint64) {
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	for _, r := range w.store.rows["vanillahinge"] {
		if r.Key == "leader/"+service {
			_ = json.Unmarshal(r.Value, &l)
			return l, *r.Ver
		}
	}
	return l, 0
}

// await polls until f holds.
func await(d time.Duration, f func() bool) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if f() {
			return true
		}
	}
	return false
}

// ownsSocket reports whether the far end of a loopback connection belongs to a process.
func ownsSocket(pid int, c net.Conn) bool {
	addr := c.RemoteAddr().(*net.TCPAddr)
	raw, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return false
	}
	ip := addr.IP.To4()
	local := fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], addr.Port)
	inode := ""
	for _, line := range strings.Split(string(raw), "\n") {
		if f := strings.Fields(line); len(f) > 9 && f[1] == local {
			inode = f[9]
		}
	}
	links, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	for _, l := range links {
		if to, err := os.Readlink(l); err == nil && inode != "" && to == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}

// holderKilled checks that no write is committed at an old primary and acknowledged after a
// promote has taken effect. Each round starts anew.
func holderKilled(w *world) int {
	const rounds = 6
	result := exitNotRun
	for n := range rounds {
		w.rec.line("round %d", n+1)
		switch code := holderKilledOnce(w); code {
		case exitBroken:
			return code
		case exitHeld:
			result = code
		}
	}
	return result
}

func holderKilledOnce(w *world) int {
	w.setUp("z1", "z2", "z3")
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
	l, _ := w.leadership(g.name)
	w.rec.line("record: %+v", l)
	holder := w.fleet.all[0]
	if w.trouble {
		g.members[0].crash()
		if !await(5*time.Second, func() bool { l, _ = w.leadership(g.name); return !l.Settled && l.Holder != "" }) {
			w.rec.line("no claim")
			return exitNotRun
		}
		w.rec.line("claimed: %+v", l)
		for _, in := range w.fleet.all {
			if in.name == l.Holder {
				holder = in
			}
		}
		if !await(5*time.Second, func() bool { w.cloud.mu.Lock(); defer w.cloud.mu.Unlock(); return len(w.cloud.calls) > 0 }) {
			w.rec.line("no promote")
			return exitNotRun
		}
		w.store.setDown(true)
		w.rec.line("the store is down (503)")
		if !await(3*time.Second, func() bool { g.mu.Lock(); defer g.mu.Unlock(); return len(g.leads) > 0 }) {
			return exitNotRun
		}
		time.Sleep(500 * time.Millisecond)
		holder.signal(syscall.SIGKILL)
		<-holder.done
		time.Sleep(time.Second)
		first := g.leads[0].server
		g.mu.Lock()
		first.cutFrom = func(c net.Conn) bool { return ownsSocket(holder.cmd.Process.Pid, c) }
		g.mu.Unlock()
		w.fleet.restart(holder)
		time.Sleep(900 * time.Millisecond)
	}
	// Clients of the other instances hold transactions open.
	var wg sync.WaitGroup
	broken, committed := 0, 0
	var mu sync.Mutex
	g.mu.Lock()
	led := g.led
	g.mu.Unlock()
	for i := range 6 {
		in := w.fleet.all[i%3]
		if in == holder {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			c, err := dial(w.rec, fmt.Sprintf("t%d", i), in.front, "book", fmt.Sprintf("key%d", 1+i))
			if err != nil {
				return
			}
			defer c.close()
			if _, a, err := c.do("BEGIN", time.Second); err != nil || a.code != "" {
				return
			}
			if _, a, err := c.do(fmt.Sprintf("PUT t%d value", i), time.Second); err != nil || a.code != "" {
				return
			}
			select {
			case <-led:
			case <-time.After(2800 * time.Millisecond):
			}
			id, a, err := c.do("COMMIT", 2*time.Second)
			mu.Lock()
			defer mu.Unlock()
			if err == nil && a.code == "" {
				committed++
				if why := g.atOldPrimary(id); why != "" {
					broken++
					w.rec.line("ONE: %s was acknowledged; it was %s", id, why)
				}
			}
		}()
	}
	if w.trouble {
		time.Sleep(100 * time.Millisecond)
		w.store.setDown(false)
		w.rec.line("the store is back")
	}
	wg.Wait()
	time.Sleep(500 * time.Millisecond)
	l, _ = w.leadership(g.name)
	w.rec.line("record: %+v; commits acknowledged %d, broken %d", l, committed, broken)
	if broken > 0 {
		return exitBroken
	}
	if committed == 0 && !w.trouble {
		return exitNotRun
	}
	return exitHeld
}

// atOldPrimary tells whether a commit ran at a server after a promote of another one had
// taken effect; "" if not.
func (g *group) atOldPrimary(id string) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range g.runs {
		if r.id != id || !strings.HasPrefix(r.result, "committed at ") {
			continue
		}
		for _, l := range g.leads {
			if l.at.Before(r.at) && l.server.id != r.server && parsePosition(strings.TrimPrefix(r.result, "committed at ")).term < l.term {
				return fmt.Sprintf("committed at %s, %d ms after %s had become the primary", r.server, r.at.Sub(l.at).Milliseconds(), l.server.id)
			}
		}
	}
	return ""
}
