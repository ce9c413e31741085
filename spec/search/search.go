// Package search is an explicit-state model checker. It explores every state that
// a model can reach, breadth first and on all CPU cores, and returns the shortest
// path to a state that violates a rule.
//
// A model implements State. The search identifies states only by their key, a
// 64-bit xxhash: among n states, two collide with a probability of about
// n*n/2^65, and one of the two is then not expanded.
package search

import (
	"runtime"
	"sync"
	"sync/atomic"
	"time"
)

// Step identifies a transition. The meaning of A, B and C depends on Kind and on
// the model, whose DescribeStep turns a step into text.
type Step struct{ Kind, A, B, C uint8 }

// State is a node of the model's state graph. It is immutable once Next has
// returned it.
type State interface {
	// Next calls visit for each transition with the successor state.
	Next(visit func(Step, State))
	// Key identifies the state. States with equal keys behave alike.
	Key() uint64
	// Check describes the rule that this state violates, or returns the empty
	// string.
	Check() string
}

// Limits bounds a search. Depth and States are unlimited if zero; Workers then
// defaults to GOMAXPROCS.
type Limits struct {
	Depth   int
	States  int
	Workers int
}

// Result is the outcome of a search.
type Result struct {
	States, Transitions int
	// Depth is the largest distance of a visited state from the initial states, in
	// steps.
	Depth int
	// Complete is set if every reachable state was visited.
	Complete bool
	Time     time.Duration
	// Violation describes the violated rule, empty if none; Trace is the path to it.
	Violation string
	Trace     []Step
}

// node is a visited state with the path that led to it.
type node struct {
	parent *node
	step   Step
	state  State
}

const shardCount = 256

// visited is a sharded set of state keys for concurrent use.
type visited [shardCount]struct {
	mu   sync.Mutex
	keys map[uint64]struct{}
	_    [40]byte // padding: keeps the locks on separate cache lines
}

func newVisited() *visited {
	v := &visited{}
	for i := range v {
		v[i].keys = map[uint64]struct{}{}
	}
	return v
}

// add reports whether the key is new.
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

// Run searches all states reachable from the initial states. It stops at the
// first violation or, between two levels, when a limit is reached.
func Run(initial []State, limits Limits) Result {
	startTime := time.Now()
	workers := limits.Workers
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
		if violation := n.state.Check(); violation != "" {
			return Result{States: res.States, Violation: violation, Time: time.Since(startTime)}
		}
	}
	for len(level) > 0 {
		if limits.Depth > 0 && res.Depth == limits.Depth || limits.States > 0 && res.States >= limits.States {
			res.Time = time.Since(startTime)
			return res
		}
		next, transitions, violating, violation := expand(level, seen, workers)
		res.Transitions += transitions
		res.States += len(next)
		if violating != nil {
			res.Violation, res.Trace, res.Depth = violation, violating.trace(), res.Depth+1
			res.Time = time.Since(startTime)
			return res
		}
		if len(next) > 0 {
			res.Depth++
		}
		level = next
	}
	res.Complete = true
	res.Time = time.Since(startTime)
	return res
}

// expand visits the successors of one breadth-first level. Of several violations
// it returns one whose parent comes first in the level, so that runs with one
// worker are repeatable.
func expand(level []*node, seen *visited, workers int) (next []*node, transitions int, violating *node, violation string) {
	const batchSize = 64
	var (
		nextIndex atomic.Int64
		mu        sync.Mutex
		wg        sync.WaitGroup
		// violatingIndex is the position in the level of violating's parent.
		violatingIndex = len(level)
	)
	for range min(workers, (len(level)+batchSize-1)/batchSize) {
		wg.Go(func() {
			var found []*node
			count := 0
			for {
				from := int(nextIndex.Add(batchSize)) - batchSize
				if from >= len(level) {
					break
				}
				for i := from; i < min(from+batchSize, len(level)); i++ {
					n := level[i]
					n.state.Next(func(step Step, s State) {
						count++
						if !seen.add(s.Key()) {
							return
						}
						child := &node{parent: n, step: step, state: s}
						found = append(found, child)
						if v := s.Check(); v != "" {
							mu.Lock()
							if i < violatingIndex {
								violatingIndex, violating, violation = i, child, v
							}
							mu.Unlock()
						}
					})
					n.state = nil // expanded; only the path is still needed
				}
			}
			mu.Lock()
			next = append(next, found...)
			transitions += count
			mu.Unlock()
		})
	}
	wg.Wait()
	return next, transitions, violating, violation
}

// trace returns the steps from an initial state to n.
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
