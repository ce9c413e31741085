// Package drain holds the phases of an instance that shuts down and of an
// endpoint that leaves.
//
// Use: the control goroutine steps an Instance every 50 ms and at each event,
// and performs the returned actions; each action is returned once, except
// CloseIdle, which holds for every idle session from then on:
//
//	in := drain.NewInstance()
//	a := in.Step(now, drain.Event{Terminate: true, Sessions: n, Busy: b})
//	if a.Exit { // return from the app }
//
// One Endpoint per endpoint that a bundle names says whether new transactions
// may use it, whether a planned promotion is due, and when it is empty.
package drain

import "time"

// Bounds of a shutdown.
const (
	// DeregistrationDelay is how long a leaving instance still accepts connections,
	// so that the balancer sees the report first.
	DeregistrationDelay = time.Second
	// DrainTimeout is when the remaining sessions are closed.
	DrainTimeout = 20 * time.Second
	// HandOverTimeout is the longest wait for the slots to be handed over; after
	// it they are left for the takeover of a gone instance.
	HandOverTimeout = 5 * time.Second
)

// Phase is the phase of an instance.
type Phase uint8

// The phases.
const (
	Serving Phase = iota
	// Leaving reports leaving and still accepts.
	Leaving
	// Draining accepts nothing and ends sessions as they become idle.
	Draining
	// Closing has closed all sessions and hands the slots over.
	Closing
	// Ended has nothing left to do.
	Ended
)

// Event is what the instance knows at a step.
type Event struct {
	// Terminate is set once SIGTERM has arrived.
	Terminate bool
	// Sessions counts open sessions; BusySessions those with a running request or an
	// open transaction.
	Sessions, BusySessions int
	// QuotaReleased is set when no quota loan or grant of the slots is in use.
	QuotaReleased bool
	// SlotsHandedOver is set when the slot table no longer names the instance.
	SlotsHandedOver bool
}

// Actions is what to do after a step.
type Actions struct {
	ReportLeaving bool
	StopAccepting bool
	// ReleaseQuota stops lending, ahead of HandOverSlots.
	ReleaseQuota bool
	// CloseIdle: give each idle session its token and close it with 57P01.
	CloseIdle bool
	// CloseAll: close every session with a typed outcome.
	CloseAll      bool
	HandOverSlots bool
	Exit          bool
}

// Instance is the state machine of a shutdown.
type Instance struct {
	// phase only goes forward.
	phase Phase
	// since is when the shutdown began, and closing when Closing did.
	since, closing time.Duration
	// These are set once the actions were returned.
	released, handedOver, closedAll bool
}

// NewInstance returns a serving instance.
func NewInstance() *Instance { return &Instance{} }

// Phase returns the current phase.
func (i *Instance) Phase() Phase { return i.phase }

// Step moves to the phase that now and e ask for.
func (i *Instance) Step(now time.Duration, e Event) Actions {
	var a Actions
	if i.phase == Serving && e.Terminate {
		i.phase, i.since = Leaving, now
		a.ReportLeaving = true
	}
	if i.phase == Leaving && now-i.since >= DeregistrationDelay {
		i.phase = Draining
		a.StopAccepting = true
	}
	over := now-i.since >= DrainTimeout
	if i.phase == Draining && (e.Sessions == 0 || over) {
		i.phase, i.closing = Closing, now
	}
	if i.phase == Draining || i.phase == Closing {
		// A connection that was accepted just before StopAccepting may turn
		// up late; it is treated like the others.
		a.CloseIdle = e.Sessions > 0 && !over
		if e.Sessions > 0 && over && !i.closedAll {
			i.closedAll, a.CloseAll = true, true
		}
		// The shares are lent no more once no request needs them, and handed
		// over when nothing of them can be in use.
		if !i.released && (e.BusySessions == 0 || i.phase == Closing) {
			i.released, a.ReleaseQuota = true, true
		}
	}
	if i.phase == Closing && e.QuotaReleased && !i.handedOver {
		i.handedOver, a.HandOverSlots = true, true
	}
	if i.phase == Closing && (e.SlotsHandedOver || now-i.closing >= HandOverTimeout) && (e.Sessions == 0 || over) {
		i.phase = Ended
		a.Exit = true
	}
	return a
}

// EndpointPhase is the phase of an endpoint as one instance sees it.
type EndpointPhase uint8

// The phases of an endpoint.
const (
	InService EndpointPhase = iota
	// Excluded takes no new transaction from this instance.
	Excluded
	// Drained has no request, transaction or primary role left.
	Drained
)

// EndpointEvent is what the instance knows of an endpoint at a step.
type EndpointEvent struct {
	// Leaving is set while the bundle in force marks the endpoint.
	Leaving bool
	// Primary is set while the endpoint is the group's primary.
	Primary bool
	// HasSuccessor is set when another endpoint of the group can be promoted.
	HasSuccessor bool
	// InFlight counts requests and transactions of this instance at the endpoint.
	InFlight int
}

// EndpointActions is what to do after a step.
type EndpointActions struct {
	// Switchover starts a planned promotion; it is repeated every
	// HandOverRetry while the endpoint is still the primary.
	Switchover bool
	// CloseIdleConns closes the pooled connections that are not in use.
	CloseIdleConns bool
	// Drained is returned once, when the endpoint became Empty.
	Drained bool
}

// SwitchoverRetryInterval is the time between attempts of a planned promotion.
const SwitchoverRetryInterval = 2 * time.Second

// Endpoint is the state machine of an endpoint that may leave.
type Endpoint struct {
	phase EndpointPhase
	// tried is when HandOver was returned last; asked is set once it was.
	tried time.Duration
	asked bool
}

// NewEndpoint returns an endpoint in service.
func NewEndpoint() *Endpoint { return &Endpoint{} }

// Phase returns the current phase.
func (d *Endpoint) Phase() EndpointPhase { return d.phase }

// Step moves to the phase that now and e ask for.
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
		// An endpoint that was empty may have been promoted for want of
		// another one.
		d.phase = Excluded
		if e.HasSuccessor && (!d.asked || now-d.tried >= SwitchoverRetryInterval) {
			d.asked, d.tried = true, now
			a.Switchover = true
		}
		return a
	}
	d.asked = false
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
