package control

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/vanillahinge/vanillahinge/bundle"
	"github.com/vanillahinge/vanillahinge/core/controlstate"
	"github.com/vanillahinge/vanillahinge/core/decision"
	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/slot"
	peerv1 "github.com/vanillahinge/vanillahinge/peer/v1"
	"github.com/vanillahinge/vanillahinge/tablestore"
)

// Keys of the table's rows.
const (
	bundleRow      = "bundle/current"
	slotsRow       = "slots"
	withdrawalsRow = "withdrawals"
	// pollRankKey is the key by which instances are ranked to select those that
	// poll the table.
	pollRankKey = "table"
)

// currentBundleRow is the content of the row bundle/current.
type currentBundleRow struct {
	Version uint64 `json:"version"`
	// SHA256 is the hexadecimal digest of the envelope.
	SHA256 string `json:"sha256"`
	Object string `json:"object"`
	Nonce  string `json:"nonce"`
}

// withdrawalRow is the content of the row withdrawals.
type withdrawalRow struct {
	Envelopes [][]byte `json:"envelopes"`
	Nonce     string   `json:"nonce"`
}

func objectKey(version uint64) string { return "bundles/" + strconv.FormatUint(version, 10) }

// verifiedBundle is a bundle whose envelope has been verified.
type verifiedBundle struct {
	doc      *bundle.Document
	parts    *bundle.Parts
	envelope []byte
}

// verifyBundle verifies the signatures of an envelope and decodes its document.
// It may run outside the control goroutine.
func (c *Controller) verifyBundle(envelope []byte) (*verifiedBundle, error) {
	doc, err := bundle.Open(envelope, c.cfg.Operators)
	if err != nil {
		return nil, err
	}
	parts, err := doc.Parts()
	if err != nil {
		return nil, err
	}
	return &verifiedBundle{doc: doc, parts: parts, envelope: envelope}, nil
}

// install puts a verified bundle in force if it is newer than the current one.
// The version never decreases, whatever the source of the bundle.
func (c *Controller) install(now time.Duration, o *verifiedBundle, via string) {
	if c.doc != nil && o.doc.Version <= c.doc.Version {
		return
	}
	old := c.doc
	c.doc, c.parts, c.envelope, c.bundleSum = o.doc, o.parts, o.envelope, bundle.Sum(o.envelope)
	c.dirty = true
	c.cfg.Log.Info("bundle is in force", "version", o.doc.Version, "via", via, "changes", len(bundle.Diff(old, o.doc)))
	c.record(decision.Record{Kind: decision.Bundle, Rule: "bundle-in-force", Outcome: fmt.Sprintf("bundle %d is in force", o.doc.Version),
		Inputs: []decision.Input{{Name: "via", Value: via}, {Name: "sha256", Value: c.bundleSum}}})
	if c.cfg.OnBundle != nil {
		c.cfg.OnBundle(o.doc)
	}
	c.updateGroups(now)
	if c.slotCore == nil || old != nil && old.FleetSlots != o.doc.FleetSlots {
		c.replaceSlotCore(now, o.doc.FleetSlots)
	}
	c.updateQuota()
	c.stepControlState(now, controlstate.Installed{State: c.state()})
	c.notifyPeers()
}

// replaceSlotCore replaces the slot core when a bundle changes the number of fleet
// slots. The new core starts from the newest known slot table.
func (c *Controller) replaceSlotCore(now time.Duration, n int) {
	if c.slotCore != nil {
		c.pendingSlots = &receivedSlots{table: c.slotCore.Table()}
	}
	c.slotCore = slot.New(slot.Config{Self: c.cfg.Instance, Run: c.cfg.RunID, SlotCount: n})
	c.ownSlots = 0
	if in := c.pendingSlots; in != nil {
		c.pendingSlots = nil
		if in.fromRow {
			c.stepSlot(now, slot.TableRow{Table: in.table, Version: in.version})
		} else {
			c.stepSlot(now, slot.PeerTable{Table: in.table})
		}
	}
	c.stepSlot(now, slot.Freshness{Fresh: c.isFresh})
	c.stepSlot(now, slot.Members{Live: c.memberCore.Live(), Gone: c.memberCore.Gone()})
}

// addWithdrawals puts verified withdrawals in force and reports whether any of
// them is new.
func (c *Controller) addWithdrawals(now time.Duration, docs map[string]verifiedWithdrawal, via string) bool {
	added := false
	for sum, w := range docs {
		if _, known := c.withdrawals[sum]; known {
			continue
		}
		added = true
		c.withdrawals[sum] = w.envelope
		for _, k := range w.doc.Keys {
			if !c.withdrawnKeys[k] {
				c.withdrawnKeys[k] = true
				c.cfg.Log.Info("key withdrawn", "key", k, "via", via)
				c.record(decision.Record{Kind: decision.Withdrawal, Rule: "key-withdrawn", Outcome: fmt.Sprintf("key %s is withdrawn", k),
					Inputs: []decision.Input{{Name: "via", Value: via}, {Name: "reason", Value: w.doc.Reason}}})
			}
		}
	}
	if added {
		c.dirty = true
		// Sessions with a withdrawn key must end before this instance counts as
		// holding the withdrawals.
		c.publish()
		c.stepControlState(now, controlstate.Installed{State: c.state()})
		c.notifyPeers()
	}
	return added
}

type verifiedWithdrawal struct {
	doc      *bundle.Withdrawal
	envelope []byte
}

// verifyWithdrawals verifies envelopes and returns the valid ones by digest.
// Invalid ones are logged and left out, because the others must still take
// effect.
func (c *Controller) verifyWithdrawals(envelopes [][]byte) map[string]verifiedWithdrawal {
	out := map[string]verifiedWithdrawal{}
	for _, e := range envelopes {
		w, err := bundle.OpenWithdrawal(e, c.cfg.Operators)
		if err != nil {
			// Log each envelope once; every read of the row and every pull returns
			// it again.
			if _, logged := c.loggedRefusals.LoadOrStore(bundle.Sum(e), true); !logged {
				c.cfg.Log.Warn("rejected a withdrawal", "error", err.Error())
			}
			continue
		}
		out[bundle.Sum(e)] = verifiedWithdrawal{doc: w, envelope: e}
	}
	return out
}

func (c *Controller) withdrawnKeyIDs() []fleet.KeyID {
	out := make([]fleet.KeyID, 0, len(c.withdrawnKeys))
	for k := range c.withdrawnKeys {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// keySetDigest returns a digest of a set of key ids that does not depend on
// their order.
func keySetDigest(ids []fleet.KeyID) uint64 {
	var d uint64
	for _, k := range ids {
		d += xxhash.Sum64String(string(k))
	}
	return d
}

func (c *Controller) withdrawalEnvelopes() [][]byte {
	out := make([][]byte, 0, len(c.withdrawals))
	for _, e := range c.withdrawals {
		out = append(out, e)
	}
	return out
}

// Result is the outcome of an operator's change.
type Result struct {
	Version uint64 `json:"version,omitempty"`
	// Accepted is set when a majority of the witnesses hold the change.
	// Whether the table holds it too is reported by Row.
	Accepted bool `json:"accepted"`
	// Row is set when the table holds the change.
	Row bool `json:"row"`
	// Message describes the outcome to the operator in one sentence.
	Message string `json:"message"`
}

// Errors of Accept that do not concern the content of the bundle.
var (
	// ErrOutcomeUnknown reports that the table did not answer the put of the row.
	// The bundle may still come into force.
	ErrOutcomeUnknown = errors.New("control: the table did not answer; the bundle may still come into force, so ask for the status before publishing again")
	// ErrConflict reports that another operator's bundle came into force first.
	ErrConflict = errors.New("control: another bundle came into force first")
	// ErrStoreUnavailable reports that the table cannot be read, or that an object
	// cannot be read or written. The bundle in force has not changed.
	ErrStoreUnavailable = errors.New("control: the store does not answer, so no bundle can come into force; withdraw keys with vanillahinge bundle withdraw, which needs no store")
)

// Accept puts a bundle in force. It checks the bundle against the one in force,
// stores it, makes it current by a conditional put and distributes it to the
// witnesses.
func (c *Controller) Accept(ctx context.Context, envelope []byte) (Result, error) {
	o, err := c.verifyBundle(envelope)
	if err != nil {
		c.recordRefusal(err)
		return Result{}, err
	}
	res := Result{Version: o.doc.Version}
	row, cur, err := c.readCurrentBundle(ctx)
	if err != nil {
		return res, err
	}
	sum := bundle.Sum(envelope)
	if row.SHA256 == sum {
		// The operator repeated the request because the first response was lost.
		res.Row = true
	} else {
		if err := bundle.Succeeds(cur, o.doc); err != nil {
			c.recordRefusal(err)
			return res, err
		}
		if err := c.putCurrentBundle(ctx, o, sum, row.rowVersion); err != nil {
			c.recordRefusal(err)
			return res, err
		}
		res.Row = true
	}
	accepted, err := c.rollOut(ctx, controlstate.State{Bundle: o.doc.Version}, true, &peerv1.AcceptRequest{Bundle: envelope}, func(now time.Duration) {
		c.install(now, o, "operator")
	})
	if err != nil {
		return res, err
	}
	res.Accepted = accepted
	if accepted {
		res.Message = fmt.Sprintf("bundle %d is accepted: the table and a majority of the witnesses hold it", o.doc.Version)
	} else {
		res.Message = fmt.Sprintf("bundle %d is in the table, but a majority of the witnesses has not confirmed it yet; follow it with vanillahinge bundle rollout", o.doc.Version)
	}
	return res, nil
}

func (c *Controller) recordRefusal(err error) {
	c.cfg.Log.Warn("rejected a bundle or withdrawal", "error", err.Error())
	c.record(decision.Record{Kind: decision.Bundle, Rule: "bundle-refused", Outcome: err.Error()})
}

type currentBundle struct {
	currentBundleRow
	rowVersion uint64
}

// readCurrentBundle reads the bundle in force from the table. The document is nil if
// there is none.
func (c *Controller) readCurrentBundle(ctx context.Context) (currentBundle, *bundle.Document, error) {
	var out currentBundle
	row, err := c.cfg.Table.Get(ctx, bundleRow)
	if errors.Is(err, tablestore.ErrNotFound) {
		return out, nil, nil
	}
	if err != nil {
		return out, nil, fmt.Errorf("%w: %w", ErrStoreUnavailable, err)
	}
	if err := json.Unmarshal(row.Value, &out.currentBundleRow); err != nil {
		return out, nil, fmt.Errorf("control: row %s is malformed: %w", bundleRow, err)
	}
	out.rowVersion = row.Version
	env, err := c.readEnvelope(ctx, out.currentBundleRow)
	if err != nil {
		return out, nil, err
	}
	// Its signers may no longer be trusted operators, so the document is decoded
	// without verifying the signatures again.
	_, doc, _, err := bundle.Inspect(env)
	if err != nil {
		return out, nil, err
	}
	return out, doc, nil
}

// readEnvelope reads the envelope that the row refers to and checks its digest.
func (c *Controller) readEnvelope(ctx context.Context, row currentBundleRow) ([]byte, error) {
	env, err := c.cfg.Objects.GetObject(ctx, row.Object)
	if err != nil {
		return nil, fmt.Errorf("%w: object %s: %w", ErrStoreUnavailable, row.Object, err)
	}
	if bundle.Sum(env) != row.SHA256 {
		return nil, fmt.Errorf("control: object %s differs from the digest in row %s; publish a bundle with a higher version", row.Object, bundleRow)
	}
	return env, nil
}

// putCurrentBundle stores the envelope as an object and writes the row that makes it
// current.
func (c *Controller) putCurrentBundle(ctx context.Context, o *verifiedBundle, sum string, ifVersion uint64) error {
	key := objectKey(o.doc.Version)
	objCtx, cancel := context.WithTimeout(ctx, putObjectTimeout)
	defer cancel()
	if err := tablestore.PutObjectWithRetry(objCtx, c.cfg.Objects, key, o.envelope); err != nil {
		if errors.Is(err, tablestore.ErrConflict) {
			return fmt.Errorf("%w: another bundle with version %d exists; take a higher version", ErrConflict, o.doc.Version)
		}
		// The object may have been written, but no row refers to it.
		return fmt.Errorf("%w: object %s: %w", ErrStoreUnavailable, key, err)
	}
	nonce := c.newNonce()
	value, err := json.Marshal(currentBundleRow{Version: o.doc.Version, SHA256: sum, Object: key, Nonce: nonce})
	if err != nil {
		return fmt.Errorf("control: encode row: %w", err)
	}
	mine := func(v []byte) bool {
		var r currentBundleRow
		return json.Unmarshal(v, &r) == nil && r.Nonce == nonce
	}
	rowCtx, cancelRow := context.WithTimeout(ctx, putRowTimeout)
	defer cancelRow()
	row, err := tablestore.PutWithReadBack(rowCtx, c.cfg.Table, bundleRow, ifVersion, value, mine)
	switch {
	case errors.Is(err, tablestore.ErrConflict):
		var winner currentBundleRow
		if json.Unmarshal(row.Value, &winner) == nil && winner.Version > 0 {
			return fmt.Errorf("%w: version %d is in force; apply the change to it and take version %d", ErrConflict, winner.Version, max(winner.Version, o.doc.Version)+1)
		}
		return ErrConflict
	case errors.Is(err, tablestore.ErrUnavailable):
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	case err != nil:
		return err
	}
	return nil
}

// newNonce returns a value that is unique among all puts of the fleet.
func (c *Controller) newNonce() string {
	return fmt.Sprintf("%s/%s/%d", c.cfg.Instance, c.cfg.RunID, c.nonces.Add(1))
}

// rollOut calls f on the control goroutine to install the state, sends it to the
// peers and waits until it is accepted, acceptTimeout has passed or ctx ends. It
// reports whether the state was accepted.
func (c *Controller) rollOut(ctx context.Context, s controlstate.State, row bool, req *peerv1.AcceptRequest, f func(now time.Duration)) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	accepted := make(chan struct{})
	err := c.call(ctx, func(now time.Duration) {
		f(now)
		c.startRollout(now, s, row, req, func() { close(accepted) })
	})
	if err != nil {
		return false, err
	}
	select {
	case <-accepted:
		return true, nil
	case <-ctx.Done():
		return false, nil
	}
}

// startRollout registers a rollout with core/controlstate and sends Accept calls
// to all peers. A lost call needs no retry, because later pulls also report what
// the peers hold.
func (c *Controller) startRollout(now time.Duration, s controlstate.State, row bool, req *peerv1.AcceptRequest, done func()) {
	c.lastRolloutID++
	id := c.lastRolloutID
	c.onAccepted[id] = done
	req.From = string(c.cfg.Instance)
	c.stepControlState(now, controlstate.Rollout{ID: id, State: s, NeedRow: row})
	if row {
		c.stepControlState(now, controlstate.RowWritten{ID: id})
	}
	for _, p := range c.memberCore.Peers() {
		if p.Addr == "" {
			continue
		}
		c.startWorker(pullTimeout, func(ctx context.Context) {
			sent := c.now()
			res, err := c.cfg.PeerClient(p.Addr).Accept(ctx, req)
			if err != nil || !res.GetHolds() {
				return
			}
			c.post(func(now time.Duration) {
				c.stepControlState(now, controlstate.WitnessAck{From: p.ID, Sent: sent, Voting: res.GetCounts(), State: s})
			})
		})
	}
}

// Withdraw puts an urgent withdrawal in force. It works without the table.
func (c *Controller) Withdraw(ctx context.Context, envelope []byte) (Result, error) {
	w, err := bundle.OpenWithdrawal(envelope, c.cfg.Operators)
	if err != nil {
		c.recordRefusal(err)
		return Result{}, err
	}
	docs := map[string]verifiedWithdrawal{bundle.Sum(envelope): {doc: w, envelope: envelope}}
	req := &peerv1.AcceptRequest{Withdrawal: envelope}
	s := controlstate.State{Withdrawn: w.Keys}
	// The rollout does not wait for the put of the row.
	var majority bool
	wait := make(chan error, 1)
	go func() {
		var err error
		majority, err = c.rollOut(ctx, s, false, req, func(now time.Duration) { c.addWithdrawals(now, docs, "operator") })
		wait <- err
	}()
	rowErr := c.putWithdrawals(ctx, docs)
	if err := <-wait; err != nil {
		return Result{}, err
	}
	res := Result{Row: rowErr == nil, Accepted: majority}
	switch {
	case majority && res.Row:
		res.Message = "withdrawal is accepted: the table and a majority of the witnesses hold it"
	case majority:
		res.Message = "withdrawal is accepted: a majority of the witnesses hold it; the table does not answer and is updated when it does"
	default:
		res.Message = "withdrawal is in force at this instance, but a majority of the witnesses has not confirmed it; send it to the other instances too"
	}
	return res, nil
}

// putWithdrawals adds the given envelopes and those that this instance holds to
// the row. It retries conflicts until 2*tableTimeout has passed.
func (c *Controller) putWithdrawals(ctx context.Context, docs map[string]verifiedWithdrawal) error {
	ctx, cancel := context.WithTimeout(ctx, 2*tableTimeout)
	defer cancel()
	for {
		row, err := c.cfg.Table.Get(ctx, withdrawalsRow)
		if err != nil && !errors.Is(err, tablestore.ErrNotFound) {
			return fmt.Errorf("control: read row %s: %w", withdrawalsRow, err)
		}
		var have withdrawalRow
		if len(row.Value) > 0 {
			if err := json.Unmarshal(row.Value, &have); err != nil {
				return fmt.Errorf("control: row %s is malformed: %w", withdrawalsRow, err)
			}
		}
		inRow := c.verifyWithdrawals(have.Envelopes)
		var missing bool
		// Keep envelopes that this instance cannot verify; other instances may be
		// able to.
		next := withdrawalRow{Nonce: c.newNonce(), Envelopes: slices.Clone(have.Envelopes)}
		if err := c.call(ctx, func(now time.Duration) {
			c.addWithdrawals(now, docs, "operator")
			c.addWithdrawals(now, inRow, "table")
			for sum, e := range c.withdrawals {
				if _, ok := inRow[sum]; !ok {
					missing = true
					next.Envelopes = append(next.Envelopes, e)
				}
			}
		}); err != nil {
			return err
		}
		if missing {
			value, err := json.Marshal(next)
			if err != nil {
				return fmt.Errorf("control: encode row: %w", err)
			}
			mine := func(v []byte) bool {
				var r withdrawalRow
				return json.Unmarshal(v, &r) == nil && r.Nonce == next.Nonce
			}
			if _, err := tablestore.PutWithReadBack(ctx, c.cfg.Table, withdrawalsRow, row.Version, value, mine); err != nil {
				if errors.Is(err, tablestore.ErrConflict) {
					continue
				}
				return err
			}
		}
		held := next.Envelopes
		return c.call(ctx, func(time.Duration) {
			for _, e := range held {
				c.withdrawalsInRow[bundle.Sum(e)] = true
			}
		})
	}
}

// retryWithdrawals writes withdrawals that the row does not hold yet. Only
// witnesses write them, because an acceptance relies on what the witnesses hold.
func (c *Controller) retryWithdrawals() {
	if c.writingWithdrawals {
		return
	}
	missing := false
	for sum := range c.withdrawals {
		missing = missing || !c.withdrawalsInRow[sum]
	}
	if !missing || !slices.Contains(c.stateCore.Witnesses(), c.cfg.Instance) {
		return
	}
	c.writingWithdrawals = true
	c.startWorker(2*tableTimeout, func(ctx context.Context) {
		if err := c.putWithdrawals(ctx, nil); err != nil {
			c.cfg.Log.Debug("could not write withdrawals of keys to the table", "error", err.Error())
		}
		c.post(func(time.Duration) { c.writingWithdrawals = false })
	})
}
