package capacity

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/vanillahinge/vanillahinge/bundle"
	"github.com/vanillahinge/vanillahinge/core/ack"
	"github.com/vanillahinge/vanillahinge/core/controlstate"
	"github.com/vanillahinge/vanillahinge/core/failover"
	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/membership"
	"github.com/vanillahinge/vanillahinge/core/quota"
	"github.com/vanillahinge/vanillahinge/core/slot"
	peerv1 "github.com/vanillahinge/vanillahinge/peer/v1"
)

// sizes has three or more points per slope.
var sizes = []int{16, 128, 1024}

// heapPerItem returns the bytes of heap that n items made by build hold.
func heapPerItem[T any](n int, build func(i int) T) (items []T, bytes float64) {
	items = make([]T, n)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range items {
		items[i] = build(i)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	return items, float64(int64(after.HeapAlloc)-int64(before.HeapAlloc)) / float64(n)
}

func groupID(i int) fleet.GroupID       { return fleet.GroupID(fmt.Sprintf("group-%05d", i)) }
func instanceID(i int) fleet.InstanceID { return fleet.InstanceID(fmt.Sprintf("instance-%05d", i)) }

func status(g fleet.GroupID, i int, pos fleet.Position) fleet.EndpointStatus {
	s := fleet.EndpointStatus{
		Endpoint: fleet.EndpointID(fmt.Sprintf("%s-%d", g, i)), Group: g, Role: fleet.RoleReplica,
		Term: 1, FenceTerm: 1, LastLogTerm: 1, Received: pos, AppliedTerm: 1, Applied: pos,
		Primary: "127.0.0.1:1",
	}
	if i == 0 {
		s.Role, s.Primary = fleet.RolePrimary, ""
	}
	return s
}

func newTerm(i int) *failover.Core {
	g := groupID(i)
	var eps []failover.Endpoint
	for j := range 3 {
		eps = append(eps, failover.Endpoint{ID: status(g, j, 0).Endpoint, Addr: fmt.Sprintf("127.0.0.1:%d", j+1)})
	}
	c := failover.New(failover.Config{Group: g, Self: instanceID(0), RunID: "r", Endpoints: eps})
	members := failover.Members{Listed: 4}
	for j := range 4 {
		members.Answering = append(members.Answering, instanceID(j))
	}
	c.Step(0, members)
	for j := range 3 {
		c.Step(0, failover.Status{Status: status(g, j, 1)})
	}
	for j := 1; j < 4; j++ {
		c.Step(0, failover.PeerView{From: instanceID(j), Term: 1, Primary: eps[0].ID, MaxFenceTerm: 1})
	}
	return c
}

// BenchmarkTermTick measures one tick of each group's promotion core.
func BenchmarkTermTick(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("groups=%d", n), func(b *testing.B) {
			cores, bytes := heapPerItem(n, newTerm)
			b.ReportAllocs()
			b.ResetTimer()
			for i := 0; b.Loop(); i++ {
				cores[i%n].Step(time.Millisecond, failover.Tick{})
			}
			b.ReportMetric(bytes, "state-B/group")
		})
	}
}

// BenchmarkTermStatus measures one status notification.
func BenchmarkTermStatus(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("groups=%d", n), func(b *testing.B) {
			cores, _ := heapPerItem(n, newTerm)
			ev := make([]failover.Event, n)
			for i := range ev {
				ev[i] = failover.Status{Status: status(groupID(i), 1, 2)}
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := 0; b.Loop(); i++ {
				cores[i%n].Step(time.Millisecond, ev[i%n])
			}
		})
	}
}

// BenchmarkAckWrite measures a write that waits for one report.
func BenchmarkAckWrite(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("groups=%d", n), func(b *testing.B) {
			groups, bytes := heapPerItem(n, func(i int) *ack.Tracker {
				a := ack.New(ack.NoMutation)
				for j := range 3 {
					a.ObserveStatus(status(groupID(i), j, 1), nil)
				}
				return a
			})
			replica := make([]fleet.EndpointStatus, n)
			for i := range replica {
				replica[i] = status(groupID(i), 1, 1)
			}
			var done []uint64
			b.ReportAllocs()
			b.ResetTimer()
			for i := 0; b.Loop(); i++ {
				k := i % n
				replica[k].Received++
				groups[k].AddWrite(uint64(i), 1, replica[k].Received)
				done = groups[k].ObserveStatus(replica[k], done[:0])
			}
			b.ReportMetric(bytes, "state-B/group")
		})
	}
}

// BenchmarkQuotaAdmit measures admission with a holder in the same process,
// with all exchanges that it causes.
func BenchmarkQuotaAdmit(b *testing.B) {
	type pair struct {
		l *quota.Lender
		h *quota.Holder
	}
	share := quota.Share{Rate: 1e9, Burst: 1e9, FleetSlots: 4, Slots: 1}
	for _, n := range sizes {
		b.Run(fmt.Sprintf("accounts=%d", n), func(b *testing.B) {
			ps, bytes := heapPerItem(n, func(i int) pair {
				id := fleet.AccountID(fmt.Sprintf("account-%05d", i))
				p := pair{quota.NewLender(0, id, quota.Lending, 1), quota.NewHolder(id, 7)}
				p.l.SetShare(0, share)
				p.h.SetShare(0, share)
				p.l.SetHolder(0, instanceID(0))
				return p
			})
			b.ReportAllocs()
			b.ResetTimer()
			for i := 0; b.Loop(); i++ {
				p, now := ps[i%n], time.Second+time.Duration(i)*10*time.Microsecond
				p.l.Admit(now, 1)
				if ex, _, ok := p.l.NextExchange(now); ok {
					p.l.HandleGrant(now, instanceID(0), p.h.HandleExchange(now, instanceID(1), ex))
				}
			}
			b.ReportMetric(bytes, "state-B/account")
		})
	}
}

// BenchmarkFreshPull measures one answered pull.
func BenchmarkFreshPull(b *testing.B) {
	for _, n := range []int{4, 9, 64, 512} {
		b.Run(fmt.Sprintf("listed=%d", n), func(b *testing.B) {
			ids := make([]fleet.InstanceID, n)
			for i := range ids {
				ids[i] = instanceID(i)
			}
			c := controlstate.New(controlstate.Config{Self: ids[0]}, 0)
			c.Step(0, controlstate.InstanceList{IDs: ids})
			b.ReportAllocs()
			b.ResetTimer()
			for i := 0; b.Loop(); i++ {
				round := uint64(i/4) + 1
				now := time.Duration(round) * 500 * time.Millisecond
				if i%4 == 0 {
					c.Step(now, controlstate.PullStarted{Round: round})
				}
				c.Step(now, controlstate.PullAnswer{Round: round, From: ids[i%n], Voting: true, Fresh: true, ProofAge: time.Second})
			}
		})
	}
}

// BenchmarkMemberTick measures a tick with n listed instances.
func BenchmarkMemberTick(b *testing.B) {
	for _, n := range []int{4, 64, 512, 4600} {
		b.Run(fmt.Sprintf("listed=%d", n), func(b *testing.B) {
			list := make([]membership.Instance, n)
			for i := range list {
				list[i] = membership.Instance{ID: instanceID(i), DataCentre: "dc-1", Addr: "10.0.0.1:6433"}
			}
			cores, bytes := heapPerItem(1, func(int) *membership.Core {
				c := membership.New(membership.Config{Self: instanceID(0), DataCentre: "dc-1"})
				c.Step(0, membership.PlatformList{Instances: list})
				return c
			})
			b.ReportAllocs()
			b.ResetTimer()
			for b.Loop() {
				cores[0].Step(time.Millisecond, membership.Tick{})
			}
			b.ReportMetric(bytes/float64(n), "state-B/instance")
		})
	}
}

// BenchmarkSlotTick measures a tick with n fleet slots.
func BenchmarkSlotTick(b *testing.B) {
	for _, n := range []int{4, 64, 512} {
		b.Run(fmt.Sprintf("slots=%d", n), func(b *testing.B) {
			t := slot.Table{Epoch: 1}
			live := make([]fleet.InstanceID, n)
			for i := range n {
				live[i] = instanceID(i)
				t.Slots = append(t.Slots, slot.Owner{Instance: live[i], Run: "run-0123456789ab"})
			}
			c := slot.New(slot.Config{Self: live[0], Run: "run-0123456789ab", SlotCount: n})
			c.Step(0, slot.Freshness{Fresh: true})
			c.Step(0, slot.Members{Live: live})
			c.Step(0, slot.TableRow{Table: t, Version: 1})
			b.ReportAllocs()
			b.ResetTimer()
			for b.Loop() {
				c.Step(time.Second, slot.Tick{})
			}
		})
	}
}

// BenchmarkPullMessage measures encoding a pull with observations of n groups
// and reports its size.
func BenchmarkPullMessage(b *testing.B) {
	for _, n := range []int{3, 45, 128, 1024} {
		b.Run(fmt.Sprintf("groups=%d", n), func(b *testing.B) {
			m := &peerv1.PullResponse{From: string(instanceID(1)), Have: &peerv1.Versions{Bundle: 16000, Slots: 900}, Fresh: true, FreshAgeUs: 400000}
			for i := range n {
				g := groupID(i)
				m.Groups = append(m.Groups, &peerv1.GroupObservation{Group: string(g), Term: 12, Primary: string(status(g, 0, 0).Endpoint), MaxFenceTerm: 12})
			}
			b.ReportAllocs()
			b.ResetTimer()
			for b.Loop() {
				if _, err := proto.Marshal(m); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(proto.Size(m))/float64(n), "wire-B/group")
		})
	}
}

// BenchmarkExchangeMessage reports the size of a quota exchange.
func BenchmarkExchangeMessage(b *testing.B) {
	for _, n := range []int{1, 8, 64, 512} {
		b.Run(fmt.Sprintf("accounts=%d", n), func(b *testing.B) {
			m := &peerv1.ExchangeRequest{From: string(instanceID(1))}
			for i := range n {
				m.Accounts = append(m.Accounts, &peerv1.AccountExchange{
					Account: fmt.Sprintf("account-%05d", i), EchoUs: 1e12, HolderRun: 1 << 62, LendLevel: 3, Slots: 1,
					Seq: 1 << 40, Spent: 12, Want: 14, Closed: []uint64{1 << 20, 1<<20 + 1},
				})
			}
			b.ReportAllocs()
			b.ResetTimer()
			for b.Loop() {
				if _, err := proto.Marshal(m); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(proto.Size(m))/float64(n), "wire-B/account")
		})
	}
}

// BenchmarkBundle measures sealing a bundle with n accounts and n/4 groups.
func BenchmarkBundle(b *testing.B) {
	verifier, err := bundle.NewVerifier("a-key-0123456789")
	if err != nil {
		b.Fatal(err)
	}
	for _, n := range sizes {
		b.Run(fmt.Sprintf("accounts=%d", n), func(b *testing.B) {
			d := &bundle.Document{Kind: bundle.KindBundle, Version: 1, FleetSlots: 4}
			for i := range n {
				db := fmt.Sprintf("database-%05d", i/4)
				d.Accounts = append(d.Accounts, bundle.Account{
					ID: fleet.AccountID(fmt.Sprintf("account-%05d", i)), Weight: 1, Rate: 100, Burst: 50,
					Keys: []bundle.Key{{ID: "key-1", Verifier: verifier}}, Databases: []string{db},
				})
				if i%4 == 0 {
					g := bundle.Group{ID: groupID(i / 4)}
					for j := range 3 {
						g.Endpoints = append(g.Endpoints, bundle.Endpoint{ID: status(g.ID, j, 0).Endpoint, DataCentre: "dc-1", Addr: "10.0.0.1:5432", Slots: 3, Connections: 40})
					}
					d.Groups = append(d.Groups, g)
					d.Databases = append(d.Databases, bundle.Database{Name: db, Group: g.ID})
				}
			}
			size := 0
			b.ReportAllocs()
			b.ResetTimer()
			for b.Loop() {
				env, err := bundle.Seal(d)
				if err != nil {
					b.Fatal(err)
				}
				size = len(env.Document)
			}
			b.ReportMetric(float64(size)/float64(n), "document-B/account")
		})
	}
}
