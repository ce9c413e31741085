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

// script sends the same random messages to an endpoint and through the proxy.
type script struct {
	t      *testing.T
	r      *rand.Rand
	conns  [2]*pgconn.HijackedConn
	names  []string
	nextID int
}

// send encodes one message for both connections.
func (s *script) send(m pgproto3.FrontendMessage) {
	for _, c := range s.conns {
		c.Frontend.Send(m)
	}
}

// compare flushes and compares the answers up to a message of the type.
func (s *script) compare(step string, until string) (failed bool) {
	var got [2][]string
	for i, c := range s.conns {
		assert.NilError(s.t, c.Frontend.Flush(), step)
		for {
			m, err := c.Frontend.Receive()
			assert.NilError(s.t, err, "%s: connection %d after %q", step, i, got[i])
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
	assert.DeepEqual(s.t, got[0], got[1])
	return strings.Contains(strings.Join(got[0], ";"), "error ")
}

func (s *script) sql() string {
	s.nextID++
	return []string{
		"SELECT count(*), sum(v) FROM jobs",
		"SELECT id FROM jobs ORDER BY id LIMIT 3",
		fmt.Sprintf("INSERT INTO jobs VALUES (%d, 1)", s.r.IntN(60)),
		fmt.Sprintf("INSERT INTO jobs VALUES (%d, 2) RETURNING id, v", 100+s.nextID),
		fmt.Sprintf("UPDATE jobs SET v = v + 1 WHERE id < %d", s.r.IntN(50)),
		fmt.Sprintf("DELETE FROM jobs WHERE id = %d", s.r.IntN(60)),
		"SELECT missing FROM jobs",
		"BEGIN", "COMMIT", "ROLLBACK", "BEGIN", "COMMIT",
		"",
	}[s.r.IntN(13)]
}

func (s *script) pipeline() {
	var steps []string
	for range 1 + s.r.IntN(4) {
		name := ""
		if s.r.IntN(3) == 0 && len(s.names) > 0 {
			name = s.names[s.r.IntN(len(s.names))]
		} else {
			if s.r.IntN(2) == 0 {
				s.nextID++
				name = fmt.Sprintf("n%d", s.nextID)
			}
			sql := s.sql()
			if sql == "SELECT missing FROM jobs" {
				sql = "SELECT 1"
			}
			steps = append(steps, name+":"+sql)
			s.send(&pgproto3.Parse{Name: name, Query: sql})
			if name != "" && s.r.IntN(2) == 0 {
				// Statements are used again only when nothing failed before them.
				s.send(&pgproto3.Sync{})
				if s.compare(strings.Join(steps, "; "), "ready") {
					return
				}
				s.names = append(s.names, name)
			}
		}
		s.send(&pgproto3.Bind{PreparedStatement: name})
		if s.r.IntN(2) == 0 {
			s.send(&pgproto3.Describe{ObjectType: 'P'})
		}
		s.send(&pgproto3.Execute{})
		steps = append(steps, "run "+name)
	}
	s.send(&pgproto3.Sync{})
	s.compare(strings.Join(steps, "; "), "ready")
}

// Guards against answers through the proxy that differ from those of the
// endpoint, for random simple queries and pipelines with errors and
// transactions. Only the primary is compared, since replicas lag. Statements
// that do not exist are left out: the proxy refuses their pipeline as a whole.
func TestSameAnswersAsTheEndpoint(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			f := newFixture(t, fixtureConfig{options: func(o *Options) { o.Route.PrimaryOnly = true },
				endpoint: func(_ int, c *endpoint.Config) { c.AllowNoTerm = true }})
			s := &script{t: t, r: rand.New(rand.NewPCG(seed, 1))}
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
				s.conns[i] = h
			}
			for range 150 {
				if s.r.IntN(2) == 0 {
					q := s.sql()
					if s.r.IntN(4) == 0 {
						q += ";" + s.sql()
					}
					s.send(&pgproto3.Query{String: q})
					s.compare(q, "ready")
				} else {
					s.pipeline()
				}
			}
		})
	}
}
