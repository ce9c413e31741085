package forward

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/vanillahinge/vanillahinge/core/catalog"
	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/stmt"
	"github.com/vanillahinge/vanillahinge/edge/executor"
)

// A stream starts with protocolVersion from the caller. After it, both sides send
// frames: the length of the body as 4 bytes, big-endian, then the body. The body starts
// with the kind of the frame; its other fields are varints, strings with their length,
// and bytes, in the order of the functions below.
const protocolVersion = "vanillahinge-forward-1\n"

// maxFrameBytes bounds a frame: a statement or an answer has at most 1 MiB, and the
// settings of a session are bounded by it as well.
const maxFrameBytes = 4 << 20

// errFrame means that the other side sent something that is not a frame. The stream
// must be closed.
var errFrame = errors.New("forward: malformed frame; the stream is closed")

// kind is the kind of a frame.
type kind byte

const (
	// kindRun asks for the execution of an operation.
	kindRun kind = iota + 1
	// kindRollback ends a transaction. It has no answer.
	kindRollback
	// kindOutcome is the answer to kindRun.
	kindOutcome
	// kindNotRun is the answer to kindRun if the operation has not run and will not.
	kindNotRun
	// kindPing is answered with kindPong at once.
	kindPing
	kindPong
	// kindLeaving says that no new operations and transactions should be sent.
	kindLeaving
)

// run is a kindRun frame.
type run struct {
	// id identifies the operation on its stream.
	id uint64
	// transaction is the number of the operation's transaction on its stream, 0 for
	// none. begin is set for the first operation of the transaction.
	transaction     uint64
	begin, readOnly bool
	// elapsed is how long ago the operation arrived at the instance of its session.
	elapsed time.Duration
	op      executor.Operation
}

// outcome is a kindOutcome frame.
type outcome struct {
	id uint64
	executor.Outcome
}

// encoder appends the fields of a frame.
type encoder struct{ b []byte }

// newFrame starts a frame of a kind.
func newFrame(k kind) *encoder { return &encoder{b: append(make([]byte, 4, 512), byte(k))} }

// bytes returns the complete frame.
func (e *encoder) bytes() []byte {
	binary.BigEndian.PutUint32(e.b, uint32(len(e.b)-4))
	return e.b
}

func (e *encoder) uint(v uint64) { e.b = binary.AppendUvarint(e.b, v) }
func (e *encoder) text(s string) {
	e.uint(uint64(len(s)))
	e.b = append(e.b, s...)
}
func (e *encoder) flag(v bool) {
	if v {
		e.b = append(e.b, 1)
	} else {
		e.b = append(e.b, 0)
	}
}
func (e *encoder) duration(d time.Duration) { e.uint(uint64(max(0, d.Microseconds()))) }
func (e *encoder) position(p fleet.LogPosition) {
	e.uint(uint64(p.Term))
	e.uint(uint64(p.Position))
}

// decoder takes the fields of a frame. After an error it returns zero values.
type decoder struct {
	b   []byte
	err error
}

func (d *decoder) fail(what string) {
	if d.err == nil {
		d.err = fmt.Errorf("%w: %s", errFrame, what)
	}
	d.b = nil
}

func (d *decoder) uint() uint64 {
	v, n := binary.Uvarint(d.b)
	if n <= 0 {
		d.fail("invalid number")
		return 0
	}
	d.b = d.b[n:]
	return v
}

func (d *decoder) text() string {
	n := d.uint()
	if n > uint64(len(d.b)) {
		d.fail("text longer than the frame")
		return ""
	}
	s := string(d.b[:n])
	d.b = d.b[n:]
	return s
}

func (d *decoder) flag() bool { return d.byte("flag", 1) == 1 }

// byte takes a byte that is at most limit.
func (d *decoder) byte(what string, limit byte) byte {
	if len(d.b) == 0 || d.b[0] > limit {
		d.fail("invalid " + what)
		return 0
	}
	v := d.b[0]
	d.b = d.b[1:]
	return v
}

// maxDuration bounds the durations of a frame, so that sums of them do not overflow.
const maxDuration = 24 * time.Hour

func (d *decoder) duration() time.Duration {
	v := d.uint()
	if v > uint64(maxDuration.Microseconds()) {
		d.fail("invalid duration")
		return 0
	}
	return time.Duration(v) * time.Microsecond
}

func (d *decoder) position() fleet.LogPosition {
	return fleet.LogPosition{Term: fleet.Term(d.uint()), Position: fleet.Position(d.uint())}
}

// count takes the number of entries that follow, each of at least one byte.
func (d *decoder) count() int {
	n := d.uint()
	if n > uint64(len(d.b)) {
		d.fail("more entries than bytes")
		return 0
	}
	return int(n)
}

// done returns the error of the fields taken, or one if bytes are left.
func (d *decoder) done() error {
	if d.err == nil && len(d.b) > 0 {
		d.fail("trailing bytes")
	}
	return d.err
}

func encodeRun(r *run) []byte {
	e := newFrame(kindRun)
	op := &r.op
	e.uint(r.id)
	e.uint(r.transaction)
	e.flag(r.begin)
	e.flag(r.readOnly)
	e.duration(r.elapsed)
	e.text(op.Route.Database)
	e.text(string(op.Route.Group))
	e.b = append(e.b, byte(op.Route.Consistency))
	e.duration(op.Route.StatementTimeout)
	e.duration(op.Route.LatencyObjective)
	e.uint(uint64(max(0, op.Route.Priority)))
	e.duration(op.Route.MaxStaleness)
	e.text(string(op.Account))
	e.position(op.LastCommit)
	e.uint(uint64(len(op.Settings)))
	for _, name := range slices.Sorted(maps.Keys(op.Settings)) {
		e.text(name)
		e.text(op.Settings[name])
	}
	s := &op.Statement
	e.text(s.ID)
	e.b = append(e.b, byte(s.Kind))
	e.text(s.Name)
	e.text(s.PreparedText)
	e.flag(s.PreparedWrites)
	e.text(s.Args)
	e.homes(op.Homes)
	return e.bytes()
}

// maxForwardedPriority bounds the priority of a forwarded operation.
const maxForwardedPriority = 1 << 16

func decodeRun(body []byte) (*run, error) {
	d := &decoder{b: body}
	r := &run{id: d.uint(), transaction: d.uint(), begin: d.flag(), readOnly: d.flag(), elapsed: d.duration()}
	op := &r.op
	op.Route = catalog.Route{Database: d.text(), Group: fleet.GroupID(d.text()), Consistency: catalog.Consistency(d.byte("consistency", byte(catalog.ReadYourWrites))),
		StatementTimeout: d.duration(), LatencyObjective: d.duration()}
	if p := d.uint(); p > maxForwardedPriority {
		d.fail("invalid priority")
	} else {
		op.Route.Priority = int(p)
	}
	op.Route.MaxStaleness = d.duration()
	op.Account = fleet.AccountID(d.text())
	op.LastCommit = d.position()
	op.Settings = map[string]string{}
	for range d.count() {
		name := d.text()
		op.Settings[name] = d.text()
	}
	s := &op.Statement
	s.ID = d.text()
	s.Kind = stmt.Kind(d.byte("kind of statement", byte(stmt.Execute)))
	s.Name, s.PreparedText, s.PreparedWrites, s.Args = d.text(), d.text(), d.flag(), d.text()
	op.Homes = d.homes()
	if err := d.done(); err != nil {
		return nil, err
	}
	switch s.Kind {
	case stmt.Read, stmt.Write, stmt.Execute:
	case stmt.Commit:
		if r.transaction == 0 {
			return nil, fmt.Errorf("%w: commit without a transaction", errFrame)
		}
	default:
		return nil, fmt.Errorf("%w: statements of kind %d are not forwarded", errFrame, s.Kind)
	}
	return r, nil
}

func encodeOutcome(o *outcome) []byte {
	e := newFrame(kindOutcome)
	e.uint(o.id)
	e.flag(o.Open)
	e.position(o.LastCommit)
	a := &o.Answer
	e.b = append(e.b, byte(a.Code), byte(a.State))
	e.text(a.Text)
	e.text(a.Signature)
	e.position(a.Position)
	e.uint(uint64(len(a.Rows)))
	for _, row := range a.Rows {
		e.text(row)
	}
	return e.bytes()
}

func decodeOutcome(body []byte) (*outcome, error) {
	d := &decoder{b: body}
	o := &outcome{id: d.uint()}
	o.Open, o.LastCommit = d.flag(), d.position()
	a := &o.Answer
	a.Code = stmt.Code(d.byte("code", byte(stmt.UnknownName)))
	a.State = stmt.TransactionState(d.byte("state", byte(stmt.FailedTransaction)))
	a.Text, a.Signature, a.Position = d.text(), d.text(), d.position()
	for range d.count() {
		a.Rows = append(a.Rows, d.text())
	}
	return o, d.done()
}

// encodeNumber returns a frame with one number, of kindRollback or kindNotRun.
func encodeNumber(k kind, n uint64) []byte {
	e := newFrame(k)
	e.uint(n)
	return e.bytes()
}

func decodeNumber(body []byte) (uint64, error) {
	d := &decoder{b: body}
	n := d.uint()
	return n, d.done()
}

// readFrame reads a frame.
func readFrame(r *bufio.Reader) (kind, []byte, error) {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return 0, nil, fmt.Errorf("forward: %w", err)
	}
	n := binary.BigEndian.Uint32(head[:])
	if n == 0 || n > maxFrameBytes {
		return 0, nil, fmt.Errorf("%w: length %d", errFrame, n)
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(r, body); err != nil {
		return 0, nil, fmt.Errorf("forward: %w", err)
	}
	return kind(body[0]), body[1:], nil
}
