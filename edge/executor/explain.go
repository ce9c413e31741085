package executor

import (
	"github.com/vanillahinge/vanillahinge/core/dispatch"
	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/edge/where"
)

// Explain returns what the first attempt at an operation would do now on this instance's own
// connections. transaction is set if the operation begins a transaction. It sends nothing and
// changes nothing.
func (l *Local) Explain(op *Operation, readOnly, transaction bool) where.Pool {
	var minPosition fleet.LogPosition
	replicas := false
	if op.mayUseReplicas(readOnly) {
		minPosition, replicas = l.knownReplicaPosition(op)
	}
	l.mu.Lock()
	var work dispatch.ServiceTime
	if t := l.serviceTimes[op.class()]; t != nil {
		work = *t
	}
	l.mu.Unlock()
	ex := &execution{Operation: op, serviceTime: &work}
	if transaction {
		ex.cost = l.expectedWork(op.Route.Database)
	}
	return l.Pool.Explain(ex.poolRequest(minPosition, replicas))
}
