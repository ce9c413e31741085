package endpoint

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"github.com/vanillahinge/vanillahinge/core/fleet"
)

// vhCommand runs one VH command and returns the status to answer with.
func (e *Endpoint) vhCommand(st *statement) (fleet.EndpointStatus, error) {
	var args []string
	for _, f := range strings.Fields(st.text)[1:] {
		args = append(args, strings.Trim(f, "'"))
	}
	usage := errorf("42601", "unknown VH command")
	usage.hint = "use VH STATUS, VH FENCE <term> <owner>, VH PROMOTE <term> <owner>, VH FOLLOW <term> <host:port> or VH CONFIRM <term>"
	if len(args) == 0 {
		return fleet.EndpointStatus{}, usage
	}
	name := strings.ToUpper(args[0])
	if name == "STATUS" && len(args) == 1 {
		return e.Status(), nil
	}
	if len(args) < 2 {
		return fleet.EndpointStatus{}, usage
	}
	n, err := strconv.ParseUint(args[1], 10, 64)
	if err != nil {
		return fleet.EndpointStatus{}, errorf("22P02", "the term %q is not a number", args[1])
	}
	t := fleet.Term(n)
	switch {
	case name == "CONFIRM" && len(args) == 2:
		return e.confirm(t)
	case name == "FENCE" && len(args) == 3:
		return e.fence(t, args[2])
	case name == "PROMOTE" && len(args) == 3:
		return e.promote(t, args[2])
	case name == "FOLLOW" && len(args) == 3:
		return e.followCommand(t, args[2])
	}
	return fleet.EndpointStatus{}, usage
}

func (e *Endpoint) confirm(t fleet.Term) (fleet.EndpointStatus, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.s.fenceTerm != t {
		return fleet.EndpointStatus{}, staleTerm("term %d is not confirmed; the fence term is %d", t, e.s.fenceTerm)
	}
	return e.status(), nil
}

func (e *Endpoint) fence(t fleet.Term, owner string) (fleet.EndpointStatus, error) {
	e.mu.Lock()
	if t < e.s.fenceTerm || t == e.s.fenceTerm && owner != e.s.fenceOwner {
		defer e.mu.Unlock()
		return fleet.EndpointStatus{}, staleTerm("the fence is at term %d, owner %q", e.s.fenceTerm, e.s.fenceOwner)
	}
	raised := t > e.s.fenceTerm
	if err := e.persistFence(t, owner); err != nil {
		e.mu.Unlock()
		return fleet.EndpointStatus{}, err
	}
	e.s.fenceTerm, e.s.fenceOwner = t, owner
	st := e.status()
	e.broadcast()
	e.mu.Unlock()
	if raised {
		e.abortAll(staleTerm("fenced by term %d", t))
		e.log.Info().Uint64("term", uint64(t)).Str("owner", owner).Msg("fence: granted")
	}
	return st, nil
}

func (e *Endpoint) promote(t fleet.Term, owner string) (fleet.EndpointStatus, error) {
	e.applying.Lock()
	defer e.applying.Unlock()
	check := func() error {
		switch {
		case e.s.fenceTerm != t || e.s.fenceOwner != owner:
			return staleTerm("promotion at term %d needs its own fence; the fence is at term %d, owner %q", t, e.s.fenceTerm, e.s.fenceOwner)
		case e.s.joining:
			return errorf("55000", "a joining endpoint does not hold the group's log and cannot be promoted")
		}
		return nil
	}
	e.mu.Lock()
	if err := check(); err != nil {
		defer e.mu.Unlock()
		return fleet.EndpointStatus{}, err
	}
	if e.s.role == fleet.RolePrimary && e.s.term == t {
		defer e.mu.Unlock()
		return e.status(), nil
	}
	e.stopFollowing()
	e.mu.Unlock()
	if err := e.applyDue(true); err != nil {
		return fleet.EndpointStatus{}, fmt.Errorf("apply the received entries: %w", err)
	}
	e.mu.Lock()
	if err := check(); err != nil {
		defer e.mu.Unlock()
		return fleet.EndpointStatus{}, err
	}
	e.becomePrimary(t)
	st := e.status()
	e.mu.Unlock()
	e.abortAll(staleTerm("promoted at term %d", t))
	e.log.Info().Uint64("term", uint64(t)).Uint64("position", uint64(st.Received)).Msg("promotion: this endpoint is the primary")
	return st, nil
}

// becomePrimary appends the no-op entry of a new term; needs e.mu.
func (e *Endpoint) becomePrimary(t fleet.Term) {
	e.s.role, e.s.term, e.s.primary = fleet.RolePrimary, t, ""
	e.s.log = append(e.s.log, entry{Term: t})
	e.s.applied = e.s.received()
	e.broadcast()
}

// stopFollowing needs e.mu.
func (e *Endpoint) stopFollowing() {
	e.s.following++
	if e.stopFollow != nil {
		e.stopFollow()
		e.stopFollow = nil
	}
}

func (e *Endpoint) followCommand(t fleet.Term, addr string) (fleet.EndpointStatus, error) {
	e.mu.Lock()
	switch {
	case t < e.s.fenceTerm:
		defer e.mu.Unlock()
		return fleet.EndpointStatus{}, staleTerm("term %d is fenced by term %d", t, e.s.fenceTerm)
	case e.s.role == fleet.RolePrimary && e.s.term == t:
		defer e.mu.Unlock()
		return fleet.EndpointStatus{}, errorf("55000", "the endpoint is the primary at term %d", t)
	case e.s.role == fleet.RoleReplica && e.s.term == t && e.s.primary == addr && e.stopFollow != nil:
		defer e.mu.Unlock()
		return e.status(), nil
	}
	if t > e.s.fenceTerm {
		if err := e.persistFence(t, ""); err != nil {
			e.mu.Unlock()
			return fleet.EndpointStatus{}, err
		}
		e.s.fenceTerm, e.s.fenceOwner = t, ""
	}
	e.stopFollowing()
	e.s.role, e.s.term, e.s.primary, e.s.attached, e.s.joinTarget = fleet.RoleReplica, t, addr, false, 0
	e.startFollowing()
	st := e.status()
	e.broadcast()
	e.mu.Unlock()
	e.abortAll(staleTerm("the endpoint follows term %d", t))
	e.log.Info().Uint64("term", uint64(t)).Str("primary", addr).Msg("replication: following")
	return st, nil
}

// startFollowing needs e.mu.
func (e *Endpoint) startFollowing() {
	ctx, cancel := context.WithCancel(e.ctx)
	e.stopFollow = cancel
	generation, t, addr := e.s.following, e.s.term, e.s.primary
	e.tasks.Go(func() { e.follow(ctx, generation, t, addr) })
}
