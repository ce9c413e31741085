package control

import (
	"testing"
	"time"

	"github.com/vanillahinge/vanillahinge/bundle"
	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/daemon/logging"
)

// BenchmarkStatus measures processing one pushed status and publishing the
// snapshot that follows it, the most frequent work of the control goroutine.
func BenchmarkStatus(b *testing.B) {
	f := &fixture{t: &testing.T{}}
	doc := f.doc(1, func(d *bundle.Document) {
		for _, g := range []fleet.GroupID{"g2", "g3"} {
			n := d.Groups[0]
			n.ID = g
			n.Endpoints = nil
			for _, e := range d.Groups[0].Endpoints {
				e.ID = fleet.EndpointID(g) + e.ID
				n.Endpoints = append(n.Endpoints, e)
			}
			d.Groups = append(d.Groups, n)
		}
	})
	parts, err := doc.Parts()
	if err != nil {
		b.Fatal(err)
	}
	c := New(Config{Instance: "i1", DataCentre: "dc1", Endpoints: fakeEndpoints{}, Quota: fakeQuota{}, Log: logging.ForComponent(nil, "control"), Start: time.Now()})
	c.install(0, &verifiedBundle{doc: doc, parts: parts}, "test")
	b.ReportAllocs()
	var pos fleet.Position
	for b.Loop() {
		pos++
		c.applyStatus(c.now(), fleet.EndpointStatus{Endpoint: "g1-0", Group: "g1", Role: fleet.RolePrimary, Term: 1, FenceTerm: 1, LastLogTerm: 1, Received: pos, AppliedTerm: 1, Applied: pos})
		c.publish()
	}
}
