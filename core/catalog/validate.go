package catalog

import (
	"errors"
	"fmt"
	"math"
	"net"
	"slices"
	"strconv"

	"github.com/vanillahinge/vanillahinge/core/fleet"
)

const (
	// MaxTerm limits the term of a record, so that the next one can be represented.
	MaxTerm = math.MaxInt64
	// maxCapacity limits the processor share of a machine, in cores.
	maxCapacity = 1 << 16
	// maxLinkMbps limits the speed of a machine's link, in Mbit/s.
	maxLinkMbps = 1 << 30
	// maxReplicaMembers limits the endpoints that a record names.
	maxReplicaMembers = 256
)

// Validate reports why a record read from the store cannot be that of a group.
func (l Leadership) Validate(group fleet.GroupID) error {
	switch {
	case l.Group != group || group == "":
		return fmt.Errorf("leadership record of group %.60q names group %.60q; delete it or correct its key", group, l.Group)
	case l.Term > MaxTerm:
		return fmt.Errorf("leadership record of group %.60q: term %d is above %d; restore the record", group, l.Term, uint64(MaxTerm))
	case l.Settled && l.Primary == "":
		return fmt.Errorf("leadership record of group %.60q is settled and names no primary; restore the record", group)
	case !ascending(l.Users) || !ascending(l.Removed):
		return fmt.Errorf("leadership record of group %.60q: users are not in ascending order; restore the record", group)
	}
	if err := l.Replicas.validate(); err != nil {
		return fmt.Errorf("leadership record of group %.60q: %w", group, err)
	}
	return nil
}

func (s *ReplicaSet) validate() error {
	if s == nil {
		return nil
	}
	if s.Copies < 0 || len(s.Members) > maxReplicaMembers {
		return fmt.Errorf("%d copies in %d replicas; restore the record", s.Copies, len(s.Members))
	}
	for i, m := range s.Members {
		if m.ID == "" || i > 0 && s.Members[i-1].ID >= m.ID {
			return fmt.Errorf("replica %.60q is out of order; restore the record", m.ID)
		}
		if err := validateAddr(m.Addr); err != nil {
			return fmt.Errorf("replica %.60q: %w", m.ID, err)
		}
	}
	return nil
}

// ascending reports whether ids are in order and none occurs twice.
func ascending(ids []fleet.InstanceID) bool {
	return slices.IsSorted(ids) && len(slices.Compact(slices.Clone(ids))) == len(ids)
}

// Validate reports why a record read from the store cannot be that of a member.
func (m Member) Validate(id fleet.InstanceID) error {
	if m.ID != id || id == "" {
		return fmt.Errorf("member record of instance %.60q names instance %.60q; delete it or correct its key", id, m.ID)
	}
	if err := validateAddr(m.Addr); err != nil {
		return fmt.Errorf("member record of instance %.60q: address: %w", id, err)
	}
	if m.ForwardAddr != "" {
		if err := validateAddr(m.ForwardAddr); err != nil {
			return fmt.Errorf("member record of instance %.60q: address for statements: %w", id, err)
		}
	}
	if m.Capacity < 0 || m.Capacity > maxCapacity {
		return fmt.Errorf("member record of instance %.60q: capacity %g is not from 0 to %d cores", id, m.Capacity, maxCapacity)
	}
	if m.LinkMbps < 0 || m.LinkMbps > maxLinkMbps {
		return fmt.Errorf("member record of instance %.60q: link speed %g is not from 0 to %d Mbit/s", id, m.LinkMbps, maxLinkMbps)
	}
	return nil
}

// validateAddr checks the form of a host:port.
func validateAddr(addr string) error {
	host, port, err := net.SplitHostPort(addr)
	if err == nil && host == "" {
		err = errors.New("the host is missing")
	}
	if err == nil {
		if n, portErr := strconv.ParseUint(port, 10, 16); portErr != nil || n == 0 {
			err = fmt.Errorf("port %.60q is not from 1 to %d", port, math.MaxUint16)
		}
	}
	if err != nil {
		return fmt.Errorf("%.60q is not a host and port: %.100s", addr, err)
	}
	return nil
}
