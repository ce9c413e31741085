// Package drain implements the graceful shutdown of an instance and the draining
// of an endpoint that is to be removed.
//
// The control goroutine steps an Instance every 50 ms and at each event, and
// performs the returned actions. Each action is returned once, except CloseIdle,
// which from then on applies to every session that becomes idle:
//
//	in := drain.NewInstance()
//	a := in.Step(now, drain.Event{Terminate: true, Sessions: n, BusySessions: b})
//	if a.Exit { // return from the app }
//
// For each endpoint in the bundle one Endpoint tracks whether new transactions
// may use it, whether a switchover of its group is due, and when it is drained.
package drain

import "time"

// Time limits of a shutdown.
const (
	// DeregistrationDelay is how long a leaving instance still accepts connections,
	// so that the load balancer sees the report first.
	DeregistrationDelay = time.Second
	// DrainTimeout is the time after the start of the shutdown at which the
	// remaining sessions are closed.
	DrainTimeout = 20 * time.Second
	// HandOverTimeout is the longest wait for the hand-over of the slots. Slots that
	// are not handed over by then are taken over as those of a gone instance.
	HandOverTimeout = 5 * time.Second
)

// Phase is the phase of an instance's shutdown.
type Phase uint8

// Phases of an instance, in the order in which it goes through them.
const (
	Serving Phase = iota
	// Leaving: the instance has reported that it leaves, and still accepts
	// connections.
	Leaving
	// Draining: the instance accepts no connections and closes sessions as they
	// become idle.
	Draining
	// Closing: the sessions are closed, or being closed after DrainTimeout, and the
	// instance hands its slots over.
	Closing
	// Ended: the shutdown is complete.
	Ended
)

// Event is the input of a step: the current condition of the instance.
type Event struct {
	// Terminate is set once SIGTERM has arrived.
	Terminate bool
	// Sessions is the number of open sessions, BusySessions the number of those
	// with a running request or an open transaction.
	Sessions, BusySessions int
	// QuotaReleased is set when no quota loan or grant from the instance's slots is
	// in use.
	QuotaReleased bool
	// SlotsHandedOver is set when the instance owns no slot in the slot table.
	SlotsHandedOver bool
}

// Actions is the output of a step: the actions to perform.
type Actions struct {
	ReportLeaving bool
	StopAccepting bool
	// ReleaseQuota stops lending quota, in preparation for HandOverSlots.
	ReleaseQuota bool
	// CloseIdle sends each idle session its token and closes it with SQLSTATE
	// 57P01.
	CloseIdle bool
	// CloseAll closes every session with a typed outcome.
	CloseAll      bool
	HandOverSlots bool
	Exit          bool
}

// Instance is the state machine of an instance's shutdown.
type Instance struct {
	// phase only advances.
	phase Phase
	// startedAt is when the shutdown began, closingAt when the phase Closing did.
	startedAt, closingAt time.Duration
	// These record which actions have been returned.
	quotaReleased, slotsHandedOver, sessionsClosed bool
}

// NewInstance returns an instance in the phase Serving.
func NewInstance() *Instance { return &Instance{} }

// Phase returns the current phase.
func (i *Instance) Phase() Phase { return i.phase }

// Step advances the phase according to now and e, and returns the actions to
// perform.
func (i *Instance) Step(now time.Duration, e Event) Actions {
	var a Actions
	if i.phase == Serving && e.Terminate {
		i.phase, i.startedAt = Leaving, now
		a.ReportLeaving = true
	}
	if i.phase == Leaving && now-i.startedAt >= DeregistrationDelay {
		i.phase = Draining
		a.StopAccepting = true
	}
	timedOut := now-i.startedAt >= DrainTimeout
	if i.phase == Draining && (e.Sessions == 0 || timedOut) {
		i.phase, i.closingAt = Closing, now
	}
	if i.phase == Draining || i.phase == Closing {
		// A connection that was accepted just before StopAccepting may become a
		// session only now. It is closed like the others.
		a.CloseIdle = e.Sessions > 0 && !timedOut
		if e.Sessions > 0 && timedOut && !i.sessionsClosed {
			i.sessionsClosed, a.CloseAll = true, true
		}
		// Lending stops once no request of this instance needs quota. The slots are
		// handed over once no loan or grant from them can be in use.
		if !i.quotaReleased && (e.BusySessions == 0 || i.phase == Closing) {
			i.quotaReleased, a.ReleaseQuota = true, true
		}
	}
	if i.phase == Closing && e.QuotaReleased && !i.slotsHandedOver {
		i.slotsHandedOver, a.HandOverSlots = true, true
	}
	if i.phase == Closing && (e.SlotsHandedOver || now-i.closingAt >= HandOverTimeout) && (e.Sessions == 0 || timedOut) {
		i.phase = Ended
		a.Exit = true
	}
	return a
}

// EndpointPhase is the phase of an endpoint from the view of one instance.
type EndpointPhase uint8

// Phases of an endpoint.
const (
	InService EndpointPhase = iota
	// Excluded: the instance starts no new transactions at the endpoint.
	Excluded
	// Drained: the endpoint is not the primary and runs no request or transaction
	// of the instance.
	Drained
)

// EndpointEvent is the input of a step: the current condition of the endpoint.
type EndpointEvent struct {
	// Leaving is set while the bundle in force marks the endpoint as leaving.
	Leaving bool
	// Primary is set while the endpoint is the group's primary.
	Primary bool
	// HasSuccessor is set when another endpoint of the group can be promoted.
	HasSuccessor bool
	// InFlight is the number of requests and transactions of this instance at the
	// endpoint.
	InFlight int
}

// EndpointActions is the output of a step: the actions to perform.
type EndpointActions struct {
	// Switchover starts the planned promotion of another endpoint. It is repeated
	// every SwitchoverRetryInterval while this endpoint is still the primary.
	Switchover bool
	// CloseIdleConns closes the pooled connections that are not in use.
	CloseIdleConns bool
	// Drained is returned once each time the endpoint enters the phase Drained.
	Drained bool
}

// SwitchoverRetryInterval is the least time between two attempts of a switchover.
const SwitchoverRetryInterval = 2 * time.Second

// Endpoint is the state machine of an endpoint's removal.
type Endpoint struct {
	phase EndpointPhase
	// lastSwitchover is when Switchover was returned last. switchoverRequested is
	// set if it was since the endpoint became the leaving primary.
	lastSwitchover      time.Duration
	switchoverRequested bool
}

// NewEndpoint returns an endpoint in the phase InService.
func NewEndpoint() *Endpoint { return &Endpoint{} }

// Phase returns the current phase.
func (d *Endpoint) Phase() EndpointPhase { return d.phase }

// Step advances the phase according to now and e, and returns the actions to
// perform. An endpoint that is no longer marked as leaving returns to service.
func (d *Endpoint) Step(now time.Duration, e EndpointEvent) EndpointActions {
	var a EndpointActions
	if !e.Leaving {
		*d = Endpoint{}
		return a
	}
	if d.phase == InService {
		d.phase = Excluded
	}
	if e.Primary {
		// A drained endpoint may have been promoted because no other endpoint
		// could be.
		d.phase = Excluded
		if e.HasSuccessor && (!d.switchoverRequested || now-d.lastSwitchover >= SwitchoverRetryInterval) {
			d.switchoverRequested, d.lastSwitchover = true, now
			a.Switchover = true
		}
		return a
	}
	d.switchoverRequested = false
	a.CloseIdleConns = true
	switch {
	case e.InFlight > 0:
		d.phase = Excluded
	case d.phase == Excluded:
		d.phase = Drained
		a.Drained = true
	}
	return a
}
