package front

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"

	"github.com/vanillahinge/vanillahinge/standin/endpoint"
)

// comparison sends the same random messages directly to an endpoint and through
// the proxy, and compares the responses.
type comparison struct {
	t      *testing.T
	r      *rand.Rand
	conns  [2]*pgconn.HijackedConn // direct, and through the proxy
	names  []string                // prepared statements that can be used again
	nextID int
}

// send encodes one message for both connections.
func (cmp *comparison) send(m pgproto3.FrontendMessage) {
	for _, c := range cmp.conns {
		c.Frontend.Send(m)
	}
}

// compare flushes both connections and compares the responses up to a line that
// begins with until. failed reports whether the responses contain an error.
func (cmp *comparison) compare(step string, until string) (failed bool) {
	var got [2][]string
	for i, c := range cmp.conns {
		assert.NilError(cmp.t, c.Frontend.Flush(), step)
		for {
			m, err := c.Frontend.Receive()
			assert.NilError(cmp.t, err, "%s: connection %d after %q", step, i, got[i])
			var line string
			switch m := m.(type) {
			case *pgproto3.ParameterStatus, *pgproto3.NoticeResponse:
				continue
			case *pgproto3.ErrorResponse:
				line = "error " + m.Code
			case *pgproto3.DataRow:
				line = fmt.Sprintf("row %q", m.Values)
			case *pgproto3.CommandComplete:
				line = "complete " + string(m.CommandTag)
			case *pgproto3.ReadyForQuery:
				line = "ready " + string(m.TxStatus)
			default:
				line = fmt.Sprintf("%T", m)
			}
			got[i] = append(got[i], line)
			if strings.HasPrefix(line, until) {
				break
			}
		}
	}
	assert.DeepEqual(cmp.t, got[0], got[1])
	return strings.Contains(strings.Join(got[0], ";"), "error ")
}

// sql returns a random statement. It can fail or be empty.
func (cmp *comparison) sql() string {
	cmp.nextID++
	return []string{
		"SELECT count(*), sum(v) FROM jobs",
		"SELECT id FROM jobs ORDER BY id LIMIT 3",
		fmt.Sprintf("INSERT INTO jobs VALUES (%d, 1)", cmp.r.IntN(60)),
		fmt.Sprintf("INSERT INTO jobs VALUES (%d, 2) RETURNING id, v", 100+cmp.nextID),
		fmt.Sprintf("UPDATE jobs SET v = v + 1 WHERE id < %d", cmp.r.IntN(50)),
		fmt.Sprintf("DELETE FROM jobs WHERE id = %d", cmp.r.IntN(60)),
		"SELECT missing FROM jobs",
		"BEGIN", "COMMIT", "ROLLBACK", "BEGIN", "COMMIT",
		"",
	}[cmp.r.IntN(13)]
}

// pipeline sends a random pipeline of the extended protocol.
func (cmp *comparison) pipeline() {
	var steps []string
	for range 1 + cmp.r.IntN(4) {
		name := ""
		if cmp.r.IntN(3) == 0 && len(cmp.names) > 0 {
			name = cmp.names[cmp.r.IntN(len(cmp.names))]
		} else {
			if cmp.r.IntN(2) == 0 {
				cmp.nextID++
				name = fmt.Sprintf("n%d", cmp.nextID)
			}
			sql := cmp.sql()
			if sql == "SELECT missing FROM jobs" {
				sql = "SELECT 1"
			}
			steps = append(steps, name+":"+sql)
			cmp.send(&pgproto3.Parse{Name: name, Query: sql})
			if name != "" && cmp.r.IntN(2) == 0 {
				// A named statement is used again only if the pipeline has not
				// failed up to its Parse.
				cmp.send(&pgproto3.Sync{})
				if cmp.compare(strings.Join(steps, "; "), "ready") {
					return
				}
				cmp.names = append(cmp.names, name)
			}
		}
		cmp.send(&pgproto3.Bind{PreparedStatement: name})
		if cmp.r.IntN(2) == 0 {
			cmp.send(&pgproto3.Describe{ObjectType: 'P'})
		}
		cmp.send(&pgproto3.Execute{})
		steps = append(steps, "run "+name)
	}
	cmp.send(&pgproto3.Sync{})
	cmp.compare(strings.Join(steps, "; "), "ready")
}

// Guards against responses through the proxy that differ from those of the
// endpoint, for random simple queries and pipelines with errors and
// transactions. Only the primary is compared, since replicas lag. Prepared
// statements that do not exist are left out, since the proxy refuses their
// pipeline as a whole.
func TestResponsesMatchEndpoint(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			f := newFixture(t, fixtureConfig{options: func(o *Options) { o.Route.PrimaryOnly = true },
				endpoint: func(_ int, c *endpoint.Config) { c.AllowNoTerm = true }})
			cmp := &comparison{t: t, r: rand.New(rand.NewPCG(seed, 1))}
			urls := []string{
				"postgres://" + systemUser + ":" + systemKey + "@" + f.endpoints[0].Addr() + "/direct?sslmode=disable", f.url(""),
			}
			for i, u := range urls {
				c, err := pgconn.Connect(context.Background(), u)
				assert.NilError(t, err)
				_, err = c.Exec(context.Background(), "CREATE TABLE jobs (id bigint PRIMARY KEY, v bigint)").ReadAll()
				assert.NilError(t, err)
				h, err := c.Hijack()
				assert.NilError(t, err)
				defer h.Conn.Close()
				cmp.conns[i] = h
			}
			for range 150 {
				if cmp.r.IntN(2) == 0 {
					q := cmp.sql()
					if cmp.r.IntN(4) == 0 {
						q += ";" + cmp.sql()
					}
					cmp.send(&pgproto3.Query{String: q})
					cmp.compare(q, "ready")
				} else {
					cmp.pipeline()
				}
			}
		})
	}
}
