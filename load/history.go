package load

import (
	"cmp"
	"fmt"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
)

// OpKind classifies a recorded operation.
type OpKind string

// The kinds of operation.
const (
	// Write appends a row with a unique name to a key.
	Write OpKind = "write"
	// Read reads a key's last row within a session that has a floor: it must
	// see everything up to the floor.
	Read OpKind = "read"
	// AgedRead accepts a state that is MaxAge old.
	AgedRead OpKind = "aged_read"
	// FirstRead is the first read of a session without a token; it must see
	// every write acknowledged before it began.
	FirstRead OpKind = "first_read"
)

// OpResult is what the caller knows of an operation.
type OpResult string

// The results of an operation.
const (
	Done    OpResult = "done"
	NotRun  OpResult = "not_run"
	Unknown OpResult = "unknown"
)

// Op is one operation of the history. Times are since the start of the run.
type Op struct {
	Kind    OpKind `json:"kind"`
	Account string `json:"account"`
	// Session counts the lives of a session; a session that drops its token
	// becomes a new one.
	Session  int    `json:"session"`
	Database string `json:"database"`
	Key      string `json:"key"`
	// Name is the unique name of a write, or the name that a read returned
	// ("" when the key has no row).
	Name string `json:"name"`
	// ID is the row's number, which grows in commit order.
	ID int64 `json:"id"`
	// Intended is when the arrival was due, Start when it was sent.
	Intended time.Duration `json:"intended"`
	Start    time.Duration `json:"start"`
	End      time.Duration `json:"end"`
	MaxAge   time.Duration `json:"max_age,omitempty"`
	Result   OpResult      `json:"result"`
	// Code is the SQLSTATE of a refusal, or a class of connection failure.
	Code     string `json:"code,omitempty"`
	Attempts int    `json:"attempts"`
}

// Row is one row of the audit that reads everything after the run.
type Row struct {
	Database, Key, Name string
	ID                  int64
}

// history collects operations.
type history struct {
	mu  sync.Mutex
	ops []Op
}

func (h *history) add(o Op) {
	h.mu.Lock()
	h.ops = append(h.ops, o)
	h.mu.Unlock()
}

// Violation is one broken promise.
type Violation struct {
	// Rule is lost, doubled, ran_though_refused, stale, went_back,
	// stale_beyond_age or not_linearizable.
	Rule   string `json:"rule"`
	Detail string `json:"detail"`
}

// Verdict is the outcome of the check of a history.
type Verdict struct {
	Ops          int `json:"ops"`
	Acknowledged int `json:"acknowledged_writes"`
	UnknownRan   int `json:"unknown_writes_that_ran"`
	UnknownNot   int `json:"unknown_writes_that_did_not_run"`
	// Linearizable counts the keys that porcupine checked, Undecided those
	// that it did not finish in time.
	Linearizable int            `json:"keys_checked"`
	Undecided    int            `json:"keys_undecided"`
	Counts       map[string]int `json:"violations"`
	// Violations holds the first ones of each rule.
	Violations []Violation `json:"examples"`
}

// OK reports whether no promise was broken.
func (v *Verdict) OK() bool { return len(v.Counts) == 0 }

// maxExamples bounds the violations of one rule that are kept.
const maxExamples = 5

func (v *Verdict) add(rule, format string, args ...any) {
	v.Counts[rule]++
	if v.Counts[rule] <= maxExamples {
		v.Violations = append(v.Violations, Violation{rule, fmt.Sprintf(format, args...)})
	}
}

type keyID struct{ database, key string }

// Check judges a history against the rows found after the run.
func Check(ops []Op, rows []Row, porcupineTimeout time.Duration) *Verdict {
	v := &Verdict{Ops: len(ops), Counts: map[string]int{}}
	checkWrites(v, ops, rows)
	byKey := map[keyID][]Op{}
	for _, o := range ops {
		k := keyID{o.Database, o.Key}
		byKey[k] = append(byKey[k], o)
	}
	keys := make([]keyID, 0, len(byKey))
	for k := range byKey {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b keyID) int {
		return cmp.Or(cmp.Compare(a.database, b.database), cmp.Compare(a.key, b.key))
	})
	for _, k := range keys {
		checkSessions(v, byKey[k])
		checkAges(v, byKey[k])
	}
	checkRegisters(v, keys, byKey, porcupineTimeout)
	return v
}

// checkWrites finds lost, doubled and wrongly refused writes.
func checkWrites(v *Verdict, ops []Op, rows []Row) {
	found := map[string]int{}
	for _, r := range rows {
		found[r.Name]++
	}
	for _, o := range ops {
		if o.Kind != Write {
			continue
		}
		n := found[o.Name]
		switch {
		case n > 1:
			v.add("doubled", "write %s to %s/%s (%s) is there %d times", o.Name, o.Database, o.Key, o.Result, n)
		case o.Result == Done && n == 0:
			v.add("lost", "write %s to %s/%s was acknowledged at %s and is gone", o.Name, o.Database, o.Key, o.End)
		case o.Result == NotRun && n == 1:
			v.add("ran_though_refused", "write %s to %s/%s was refused as not run (%s) and is there", o.Name, o.Database, o.Key, o.Code)
		}
		switch {
		case o.Result == Done:
			v.Acknowledged++
		case o.Result == Unknown && n > 0:
			v.UnknownRan++
		case o.Result == Unknown:
			v.UnknownNot++
		}
	}
}

// checkSessions demands that a session's reads are not older than its own
// writes, nor than its first read, whose position becomes the session's floor.
// Other reads promise no order among themselves: two replicas that cover the
// floor may differ. A session runs one operation at a time.
func checkSessions(v *Verdict, ops []Op) {
	type seen struct {
		id    int64
		write bool
		name  string
	}
	ops = slices.Clone(ops)
	sort.SliceStable(ops, func(i, j int) bool { return ops[i].Start < ops[j].Start })
	last := map[int]seen{}
	for _, o := range ops {
		if o.Result != Done {
			continue
		}
		s := last[o.Session]
		if o.Kind != Write && o.ID < s.id {
			rule := "went_back"
			if s.write {
				rule = "stale"
			}
			v.add(rule, "session %d of %s read row %d of %s/%s at %s after row %d (%s)", o.Session, o.Account, o.ID, o.Database, o.Key, o.Start, s.id, s.name)
		}
		switch {
		case o.Kind == Write && o.ID > s.id:
			last[o.Session] = seen{o.ID, true, o.Name}
		case o.Kind == FirstRead && o.ID > s.id:
			last[o.Session] = seen{o.ID, false, o.Name}
		}
	}
}

// checkAges demands that a read sees every write acknowledged before it began,
// less the age that it accepts. Reads within a session promise no more than
// the session's own writes, so only aged and first reads are checked.
func checkAges(v *Verdict, ops []Op) {
	var writes []Op
	for _, o := range ops {
		if o.Kind == Write && o.Result == Done {
			writes = append(writes, o)
		}
	}
	sort.Slice(writes, func(i, j int) bool { return writes[i].End < writes[j].End })
	highest := make([]int64, len(writes)+1)
	for i, w := range writes {
		highest[i+1] = max(highest[i], w.ID)
	}
	for _, o := range ops {
		if o.Result != Done || o.Kind != AgedRead && o.Kind != FirstRead {
			continue
		}
		limit := o.Start - o.MaxAge
		n := sort.Search(len(writes), func(i int) bool { return writes[i].End >= limit })
		if o.ID < highest[n] {
			rule := "stale_beyond_age"
			if o.Kind == FirstRead {
				rule = "stale"
			}
			v.add(rule, "%s of session %d at %s returned row %d of %s/%s; row %d was acknowledged before %s", o.Kind, o.Session, o.Start, o.ID, o.Database, o.Key, highest[n], limit)
		}
	}
}

// registerModel is a register per key whose writes have unique names.
var registerModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		if o := input.(Op); o.Kind == Write {
			return true, o.Name
		}
		return output.(Op).Name == state.(string), state
	},
	Equal: func(a, b any) bool { return a.(string) == b.(string) },
}

// checkRegisters checks writes and first reads for linearizability. A write
// of unknown outcome may take effect at any later time.
func checkRegisters(v *Verdict, keys []keyID, byKey map[keyID][]Op, timeout time.Duration) {
	deadline := time.Now().Add(timeout)
	for _, k := range keys {
		var h []porcupine.Operation
		reads := 0
		for _, o := range byKey[k] {
			if o.Result == NotRun || o.Kind != Write && (o.Kind != FirstRead || o.Result != Done) {
				continue
			}
			end := int64(o.End)
			if o.Result == Unknown {
				end = int64(1) << 62
			}
			if o.Kind == FirstRead {
				reads++
			}
			h = append(h, porcupine.Operation{ClientId: len(h), Input: o, Call: int64(o.Start), Output: o, Return: end})
		}
		if reads == 0 {
			continue
		}
		left := time.Until(deadline)
		if left <= 0 {
			v.Undecided++
			continue
		}
		switch porcupine.CheckOperationsTimeout(registerModel, h, min(left, 2*time.Second)) {
		case porcupine.Illegal:
			v.add("not_linearizable", "the %d operations on %s/%s have no order that explains the reads", len(h), k.database, k.key)
			v.Linearizable++
		case porcupine.Unknown:
			v.Undecided++
		default:
			v.Linearizable++
		}
	}
}
