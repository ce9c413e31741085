// Package search visits every state that a model can reach, breadth first and
// on all cores, and returns the shortest path to a state that breaks a rule.
//
// A model implements State; the search knows states only by their key. Keys are
// hashed with xxhash to 64 bits: with n states, two of them collide (and one is
// then not expanded) with a probability of about n*n/2^65.
package search

import (
	"runtime"
	"sync"
	"sync/atomic"
	"time"
)

// Step names a transition; the model turns it into text.
type Step struct{ Kind, A, B, C uint8 }

// State is a node of the model's graph. It is not changed once it is returned.
type State interface {
	// Next calls visit for each successor.
	Next(visit func(Step, State))
	// Key identifies the state: equal keys mean equal behaviour.
	Key() uint64
	// Check returns the rule that this state breaks, or the empty string.
	Check() string
}

// Limits bound a search; zero means no bound.
type Limits struct {
	Depth   int
	States  int
	Workers int
}

// Result is the outcome of a search.
type Result struct {
	States, Transitions int
	// Depth is the length of the longest path among the shortest paths.
	Depth int
	// Complete is set when every reachable state was visited.
	Complete bool
	Time     time.Duration
	// Violation is the rule that was broken, and Trace the path that breaks it.
	Violation string
	Trace     []Step
}

type node struct {
	parent *node
	step   Step
	state  State
}

const shardCount = 256

// visited is a set of keys that many goroutines share.
type visited [shardCount]struct {
	mu   sync.Mutex
	keys map[uint64]struct{}
	_    [40]byte // keeps the locks on different cache lines
}

func newVisited() *visited {
	v := &visited{}
	for i := range v {
		v[i].keys = map[uint64]struct{}{}
	}
	return v
}

func (v *visited) add(key uint64) bool {
	s := &v[key%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.keys[key]; ok {
		return false
	}
	s.keys[key] = struct{}{}
	return true
}

// Run searches from the initial states.
func Run(initial []State, lim Limits) Result {
	began := time.Now()
	workers := lim.Workers
	if workers == 0 {
		workers = runtime.GOMAXPROCS(0)
	}
	seen := newVisited()
	var level []*node
	for _, s := range initial {
		if seen.add(s.Key()) {
			level = append(level, &node{state: s})
		}
	}
	res := Result{States: len(level)}
	for _, n := range level {
		if b := n.state.Check(); b != "" {
			return Result{States: res.States, Violation: b, Time: time.Since(began)}
		}
	}
	for len(level) > 0 {
		if lim.Depth > 0 && res.Depth == lim.Depth || lim.States > 0 && res.States >= lim.States {
			res.Time = time.Since(began)
			return res
		}
		next, transitions, bad, rule := expand(level, seen, workers)
		res.Transitions += transitions
		res.States += len(next)
		if bad != nil {
			res.Violation, res.Trace, res.Depth = rule, bad.trace(), res.Depth+1
			res.Time = time.Since(began)
			return res
		}
		if len(next) > 0 {
			res.Depth++
		}
		level = next
	}
	res.Complete = true
	res.Time = time.Since(began)
	return res
}

// expand visits the successors of one level. Of several broken rules it
// returns one with the least position in the level, so that runs repeat.
func expand(level []*node, seen *visited, workers int) (next []*node, transitions int, bad *node, rule string) {
	const batch = 64
	var (
		cursor atomic.Int64
		mu     sync.Mutex
		wg     sync.WaitGroup
		badAt  = len(level)
	)
	for range min(workers, (len(level)+batch-1)/batch) {
		wg.Go(func() {
			var found []*node
			count := 0
			for {
				from := int(cursor.Add(batch)) - batch
				if from >= len(level) {
					break
				}
				for i := from; i < min(from+batch, len(level)); i++ {
					n := level[i]
					n.state.Next(func(step Step, s State) {
						count++
						if !seen.add(s.Key()) {
							return
						}
						child := &node{parent: n, step: step, state: s}
						found = append(found, child)
						if b := s.Check(); b != "" {
							mu.Lock()
							if i < badAt {
								badAt, bad, rule = i, child, b
							}
							mu.Unlock()
						}
					})
					n.state = nil // only the path is needed from here on
				}
			}
			mu.Lock()
			next = append(next, found...)
			transitions += count
			mu.Unlock()
		})
	}
	wg.Wait()
	return next, transitions, bad, rule
}

func (n *node) trace() []Step {
	var steps []Step
	for ; n.parent != nil; n = n.parent {
		steps = append(steps, n.step)
	}
	for i, j := 0, len(steps)-1; i < j; i, j = i+1, j-1 {
		steps[i], steps[j] = steps[j], steps[i]
	}
	return steps
}
