package main

import (
	"fmt"
	"os"
	"sort"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// sentOps holds when the statements of the tenant under test were sent.
type sentOps struct {
	mu   sync.Mutex
	sent map[string]time.Time
	done int
	busy int
}

// worstWindow returns the most operations that were both sent and run within a window.
func (o *sentOps) worstWindow(runs []run, tenant string) (most int, from time.Time) {
	type op struct{ sent, run time.Time }
	var ops []op
	o.mu.Lock()
	defer o.mu.Unlock()
	seen := map[string]bool{}
	for _, r := range runs {
		if sent, ok := o.sent[r.id]; ok && r.tenant == tenant && !seen[r.id] {
			seen[r.id] = true
			ops = append(ops, op{sent, r.at})
		}
	}
	sort.Slice(ops, func(i, j int) bool { return ops[i].sent.Before(ops[j].sent) })
	for i := range ops {
		end := ops[i].sent.Add(quotaWindow)
		n := 0
		for _, p := range ops[i:] {
			if p.sent.After(end) {
				break
			}
			if !p.run.After(end) {
				n++
			}
		}
		if n > most {
			most, from = n, ops[i].sent
		}
	}
	return most, from
}

// load is the traffic of one tenant.
type load struct {
	w   *world
	t   tenant
	ops *sentOps
}

// client sends a read each pace, divided by times, on a session of its own until stop is closed. When the
// session ends it connects to the next instance of the list.
func (l *load) client(n int, at []*instance, pace time.Duration, times *atomic.Int64, stop <-chan struct{}) {
	database := fmt.Sprintf("own%d", n%3+1)
	var s *session
	defer func() {
		if s != nil {
			s.close()
		}
	}()
	next := time.Now()
	for i := 0; ; {
		select {
		case <-stop:
			return
		default:
		}
		next = next.Add(pace * 10 / time.Duration(times.Load()))
		if d := time.Until(next); d > 0 {
			time.Sleep(d)
		} else {
			next = time.Now()
		}
		if s == nil {
			var err error
			if s, err = l.w.open(at[i%len(at)], database, l.t.key); err != nil {
				s = nil
				i++
				continue
			}
		}
		id := l.w.newID()
		l.ops.mu.Lock()
		l.ops.sent[id] = time.Now()
		l.ops.mu.Unlock()
		l.w.log.write("client %d sends %s FETCH roof%d to %s", n, id, n, at[i%len(at)].name)
		a, err := s.query(id, fmt.Sprintf("FETCH roof%d", n), 2*time.Second)
		l.w.log.write("client %d gets to %s: done=%q code=%q %v", n, id, a.done, a.code, err)
		if err != nil {
			s.close()
			s = nil
			i++
			continue
		}
		l.ops.mu.Lock()
		if a.code == "" {
			l.ops.done++
		} else {
			l.ops.busy++
		}
		l.ops.mu.Unlock()
	}
}

const (
	// usualShare is the limit of a tenant in terms of its usual traffic, as in the site file.
	usualShare = 1.6
	// The limits of the tenant: two seconds of its rate at once.
	hotRate, hotBurst = 150, 300
	// killAfter is when the home is killed, counted from the begin of the surge, and
	// downFor how long it stays down.
	killAfter = 800 * time.Millisecond
	downFor   = 500 * time.Millisecond
	// freezeFor is how long it stands still in the other form of the case.
	freezeFor = 4 * time.Second
)

// homeRestarted kills the instance that keeps a tenant's bucket shortly after the clients
// connected to it have begun to send several times their usual, and starts it again. The
// clients go on at the other instances.
func homeRestarted(binary string, log *record, trouble bool) (broken []string) {
	tenants := eightTenants(hotRate)
	tenants[0].burst = hotBurst
	t := tenants[0]
	w := newWorld(binary, log, tenants, 5*time.Millisecond)
	ended = func(int) { w.close() }
	defer w.close()
	w.fleet()
	time.Sleep(4 * time.Second)
	l := &load{w: w, t: t, ops: &sentOps{sent: map[string]time.Time{}}}
	stop := make(chan struct{})
	// A few clients at every instance, at first.
	few := make(chan struct{})
	// In tenths of the usual.
	var usual, times atomic.Int64
	usual.Store(10)
	times.Store(10)
	for i, in := range w.instances {
		go l.client(i, []*instance{in}, 250*time.Millisecond, &usual, few)
	}
	time.Sleep(3 * time.Second)
	// The tenant's home answers the others' calls for tokens and makes none itself.
	var home *instance
	var others []*instance
	for _, in := range w.instances {
		if in.metric("token_calls") == 0 {
			home = in
		} else {
			others = append(others, in)
		}
	}
	if home == nil || len(others) != 3 {
		cannotRun("the home of the tenant is not known")
	}
	log.write("home of the tenant: %s", home.name)
	// Most of its clients are connected to its home. They send a share of its rate.
	const sessions = 40
	for i := range sessions {
		go l.client(i, []*instance{home, others[i%3], others[(i+1)%3], others[(i+2)%3]},
			time.Duration(float64(time.Second)*sessions*usualShare/t.rate), &times, stop)
	}
	time.Sleep(3 * time.Second)
	close(few)
	time.Sleep(time.Second)
	begin := time.Now()
	log.write("the tenant begins to send 7.5 times its usual")
	times.Store(75)
	if trouble {
		time.Sleep(killAfter)
		if os.Getenv("FREEZE") == "1" { // the home stands still instead
			w.signal(home, syscall.SIGSTOP)
			time.Sleep(freezeFor)
			w.signal(home, syscall.SIGCONT)
		} else {
			w.signal(home, syscall.SIGKILL)
			w.awaitExit(home)
			time.Sleep(downFor)
			w.start(home)
		}
	}
	time.Sleep(time.Until(begin.Add(10 * time.Second)))
	close(stop)
	time.Sleep(500 * time.Millisecond)
	for _, r := range ran(w.services) {
		log.write("run at %.3f on %s for %s: %s %s", log.at(r.at), r.backend, r.tenant, r.id, r.text)
	}
	most, from := l.ops.worstWindow(ran(w.services), t.name)
	limit := (t.rate*quotaWindow.Seconds()+t.burst)*(1+quotaOvershoot) + quotaSlack
	log.write("most operations sent and run within %v: %d from %.3f; limit %.1f; answered %d, refused %d", quotaWindow, most, log.at(from), limit, l.ops.done, l.ops.busy)
	bins := map[int]int{}
	for _, r := range ran(w.services) {
		if r.tenant == t.name {
			bins[int(r.at.Sub(begin)/(250*time.Millisecond))]++
		}
	}
	for i := range 40 {
		log.write("run from %.2f s after the surge on: %d in 0.25 s", float64(i)*0.25, bins[i])
	}
	fmt.Printf("most %d, limit %.1f\n", most, limit)
	if float64(most) > limit {
		broken = append(broken, fmt.Sprintf("%d operations of %s were sent and run within %v; the limit is %.1f", most, t.name, quotaWindow, limit))
	}
	return broken
}
