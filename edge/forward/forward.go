// Package forward hands operations to the instances that keep the connections to their
// group's endpoints, and serves such operations of other instances. Between two
// instances there is one stream for all operations; see wire.go for its frames.
//
// Invariants:
//   - An operation is handed to a second instance only if it provably has not run at
//     the first one, or if it is a read outside a transaction.
//   - A write or commit whose outcome is lost is in doubt.
//   - A transaction ends with the stream on which it began.
package forward

import (
	"context"
	"errors"
	"time"

	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/stmt"
	"github.com/vanillahinge/vanillahinge/core/topology"
	"github.com/vanillahinge/vanillahinge/edge/clock"
	"github.com/vanillahinge/vanillahinge/edge/executor"
	"github.com/vanillahinge/vanillahinge/edge/telemetry"
)

// Keeper is an instance that runs the operations of a group.
type Keeper struct {
	ID fleet.InstanceID
	// Addr is the host:port of its Server.
	Addr string
	// Self is set for this instance.
	Self bool
	// DataCentre is that of the instance. ReadsHomes is set if it understands the homes of
	// an operation.
	DataCentre fleet.DataCentre
	ReadsHomes bool
	// OtherRegion is set if the instance is in another region than this one.
	OtherRegion bool
}

// Directory knows the keepers.
type Directory interface {
	// Keepers returns the keepers of a group for operations with the given homes, the
	// preferred one first. An empty list means this instance.
	Keepers(group fleet.GroupID, homes topology.Homes) []Keeper
	// InHomes reports whether operations with the given homes may be handed to a keeper.
	InHomes(k Keeper, homes topology.Homes) bool
	// ReportUnreachable records that a keeper does not answer or is leaving.
	ReportUnreachable(id fleet.InstanceID)
}

// Forwarder is the Executor that runs each operation at the keeper of its group.
type Forwarder struct {
	clock     *clock.Clock
	local     executor.Executor
	directory Directory
	log       *telemetry.Log
	metrics   *telemetry.Metrics
	streams   streams
}

// New returns a Forwarder that uses local for the operations of this instance's own
// groups and while no keeper is reached.
func New(c *clock.Clock, local executor.Executor, d Directory, l *telemetry.Log, m *telemetry.Metrics) *Forwarder {
	return &Forwarder{clock: c, local: local, directory: d, log: l, metrics: m, streams: streams{clock: c}}
}

// Watch looks after streams that have become silent, until ctx ends.
func (f *Forwarder) Watch(ctx context.Context) {
	f.streams.watch(ctx, func(addr string) {
		f.metrics.Count("forward_streams_silent")
		f.log.Info("forward: instance silent; what may run elsewhere does", "addr", addr)
	})
}

// outcomeSlack is how much longer than the route's time limit an outcome is waited for.
// The keeper answers within the limit, so that what it knows reaches the client.
const outcomeSlack = 150 * time.Millisecond

// wait returns how long to wait for the outcome of an operation.
func (f *Forwarder) wait(op *executor.Operation) time.Duration {
	return max(0, op.Route.StatementTimeout-(f.clock.Now()-op.StartedAt)) + outcomeSlack
}

// open returns a stream to the first keeper that is reached, or nil if the operation is
// to run here.
func (f *Forwarder) open(op *executor.Operation, avoid fleet.InstanceID) (*clientStream, Keeper) {
	for _, k := range f.directory.Keepers(op.Route.Group, op.Homes) {
		if k.Self {
			return nil, k
		}
		if k.ID == avoid {
			continue
		}
		c, err := f.streams.get(context.Background(), k.Addr)
		if err == nil {
			if k.OtherRegion {
				f.metrics.Count("forward_other_region")
			}
			return c, k
		}
		f.reportFailure(k, err)
	}
	if op.Homes.Restricted && len(f.directory.Keepers(op.Route.Group, topology.Homes{})) > 0 {
		f.metrics.Count("homes_without_keeper")
	}
	return nil, Keeper{Self: true}
}

func (f *Forwarder) reportFailure(k Keeper, err error) {
	f.metrics.Count("forward_failed")
	f.log.Info("forward: instance not reached", "peer", string(k.ID), "error", err.Error())
	f.directory.ReportUnreachable(k.ID)
}

// Run implements executor.Executor.
func (f *Forwarder) Run(op *executor.Operation) executor.Outcome {
	var avoid fleet.InstanceID
	for {
		c, k := f.open(op, avoid)
		if c == nil {
			return f.local.Run(op)
		}
		o, err := c.run(f.clock.Now(), f.request(op), f.wait(op))
		if err == nil {
			return o.Outcome
		}
		f.reportFailure(k, err)
		switch {
		case !errors.Is(err, errLost):
		case op.Writes():
			f.logLost(op, k, err)
			return answer(op, stmt.InDoubt, "the answer was lost; check before repeating")
		case f.wait(op) <= outcomeSlack:
			return answer(op, stmt.Timeout, "no answer within the route's time limit")
		}
		avoid = k.ID
	}
}

func (f *Forwarder) request(op *executor.Operation) *run {
	return &run{elapsed: f.clock.Now() - op.StartedAt, op: *op}
}

func (f *Forwarder) logLost(op *executor.Operation, k Keeper, err error) {
	f.log.Info("forward: no outcome from the instance", "id", op.Statement.ID, "database", op.Route.Database, "peer", string(k.ID),
		"error", err.Error())
}

func answer(op *executor.Operation, code stmt.Code, text string) executor.Outcome {
	return executor.Outcome{Answer: stmt.Answer{Code: code, Text: text}, LastCommit: op.LastCommit}
}

// transaction is a transaction at a keeper.
type transaction struct {
	f      *Forwarder
	stream *clientStream
	keeper Keeper
	number uint64
	wrote  bool
}

// Begin implements executor.Executor.
func (f *Forwarder) Begin(op *executor.Operation, readOnly bool) (executor.Transaction, executor.Outcome) {
	var avoid fleet.InstanceID
	for {
		c, k := f.open(op, avoid)
		if c == nil {
			return f.local.Begin(op, readOnly)
		}
		tx := &transaction{f: f, stream: c, keeper: k, number: c.newTransaction()}
		r := f.request(op)
		r.transaction, r.begin, r.readOnly = tx.number, true, readOnly
		o, err := c.run(f.clock.Now(), r, f.wait(op))
		switch {
		case err == nil && o.Open:
			tx.wrote = op.Writes()
			return tx, o.Outcome
		case err == nil:
			return nil, o.Outcome
		}
		f.reportFailure(k, err)
		if errors.Is(err, errLost) {
			// Without a commit nothing of the transaction is kept.
			f.logLost(op, k, err)
			tx.Rollback()
			if f.wait(op) <= outcomeSlack {
				return nil, answer(op, stmt.Aborted, "the instance with the transaction was lost; it is rolled back")
			}
		}
		avoid = k.ID
	}
}

// Run implements executor.Transaction.
func (tx *transaction) Run(op *executor.Operation) executor.Outcome {
	commit := op.Statement.Kind == stmt.Commit
	if !tx.f.directory.InHomes(tx.keeper, op.Homes) {
		tx.Rollback()
		return answer(op, stmt.Aborted, "the home regions were changed and exclude its instance; the transaction is rolled back")
	}
	r := tx.f.request(op)
	r.transaction = tx.number
	o, err := tx.stream.run(tx.f.clock.Now(), r, tx.f.wait(op))
	if err == nil {
		tx.wrote = tx.wrote || op.Writes()
		return o.Outcome
	}
	tx.f.reportFailure(tx.keeper, err)
	if errors.Is(err, errLost) {
		tx.f.logLost(op, tx.keeper, err)
		if commit && tx.wrote {
			return answer(op, stmt.InDoubt, "the answer to the commit was lost; check before repeating")
		}
		tx.Rollback()
	}
	return answer(op, stmt.Aborted, "the instance with the transaction was lost; it is rolled back")
}

// Rollback implements executor.Transaction.
func (tx *transaction) Rollback() {
	if err := tx.stream.write(encodeNumber(kindRollback, tx.number)); err != nil {
		tx.stream.close(err) // ends the transaction as well
	}
}
