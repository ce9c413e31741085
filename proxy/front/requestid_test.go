package front

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"gotest.tools/v3/assert"
)

// Guards against a booking that runs twice because its caller repeated it.
func TestRequestIDRunsOnce(t *testing.T) {
	f := newFixture(t, fixtureConfig{})
	for _, mode := range []string{"simple_protocol", "exec", "cache_describe", "cache_statement"} {
		t.Run(mode, func(t *testing.T) {
			c := f.connectPgx("default_query_exec_mode=" + mode)
			mustExec(t, c, "DROP TABLE IF EXISTS bids")
			mustExec(t, c, "CREATE TABLE bids (id integer PRIMARY KEY AUTOINCREMENT, amount bigint)")
			first := queryInt(t, c, "/* vh.request_id='"+mode+"-1' */ INSERT INTO bids (amount) VALUES ($1) RETURNING id", 70)
			again := queryInt(t, c, "/* vh.request_id='"+mode+"-1' */ INSERT INTO bids (amount) VALUES ($1) RETURNING id", 70)
			assert.Equal(t, first, again)
			assert.Equal(t, queryInt(t, c, "SELECT count(*) FROM bids"), int64(1))

			_, err := c.Exec(context.Background(), "/* vh.request_id='"+mode+"-1' */ INSERT INTO bids (amount) VALUES ($1) RETURNING id", 71)
			assertErrorContains(t, err, "VH422")
			assertErrorContains(t, err, "not run")

			mustExec(t, c, "SET vh.request_id = '"+mode+"-2'")
			mustExec(t, c, "UPDATE bids SET amount = amount + 1")
			mustExec(t, c, "SET vh.request_id = '"+mode+"-2'")
			tag, err := c.Exec(context.Background(), "UPDATE bids SET amount = amount + 1")
			assert.NilError(t, err)
			assert.Equal(t, tag.String(), "UPDATE 1")
			assert.Equal(t, queryInt(t, c, "SELECT amount FROM bids"), int64(71))
		})
	}
}

// Guards against ids that stop working when a database is created anew.
func TestOutcomeTableIsMissing(t *testing.T) {
	f := newFixture(t, fixtureConfig{})
	c := f.connectPgx("")
	mustExec(t, c, "CREATE TABLE bids (id bigint)")
	mustExec(t, c, "/* vh.request_id='a' */ INSERT INTO bids VALUES (1)")
	mustExec(t, c, "DROP TABLE vh_outcome")
	mustExec(t, c, "/* vh.request_id='b' */ INSERT INTO bids VALUES (2)")
	assert.Equal(t, queryInt(t, c, "SELECT count(*) FROM bids"), int64(2))
}

// Guards against a transaction that runs twice, and against a repeat that
// changes it.
func TestRequestIDOfTransaction(t *testing.T) {
	f := newFixture(t, fixtureConfig{})
	ctx := context.Background()
	for _, mode := range []string{"simple_protocol", "exec", "cache_statement"} {
		t.Run(mode, func(t *testing.T) {
			c := f.connectPgx("default_query_exec_mode=" + mode)
			mustExec(t, c, "DROP TABLE IF EXISTS payouts")
			mustExec(t, c, "CREATE TABLE payouts (id integer PRIMARY KEY AUTOINCREMENT, amount bigint)")
			run := func(amount int) (id int64, err error) {
				mustExec(t, c, "SET vh.request_id = 'tx-"+mode+"'")
				err = pgx.BeginFunc(ctx, c, func(tx pgx.Tx) error {
					if err := tx.QueryRow(ctx, "INSERT INTO payouts (amount) VALUES ($1) RETURNING id", amount).Scan(&id); err != nil {
						return err
					}
					_, err := tx.Exec(ctx, "UPDATE payouts SET amount = amount + $1", 1)
					return err
				})
				return id, err
			}
			first, err := run(10)
			assert.NilError(t, err)
			again, err := run(10)
			assert.NilError(t, err)
			assert.Equal(t, first, again)
			_, err = run(11)
			assertErrorContains(t, err, "VH422")
			assert.Equal(t, queryInt(t, c, "SELECT sum(amount) FROM payouts"), int64(11))
		})
	}
}

// Guards against a write whose answer is lost after its commit was sent: it
// must be reported as unknown, and its repeat must return the first outcome.
func TestLostAnswerThenRepeat(t *testing.T) {
	w := &faultInjector{}
	f := newFixture(t, fixtureConfig{dial: w.dial})
	c := f.connectPgx("default_query_exec_mode=simple_protocol")
	mustExec(t, c, "CREATE TABLE bids (id bigint PRIMARY KEY)")
	const insert = "/* vh.request_id='lost' */ INSERT INTO bids VALUES (1)"
	w.closeAfterCommit.Store(true)
	_, err := c.Exec(context.Background(), insert)
	assertErrorContains(t, err, "08007")
	assert.Assert(t, !w.closeAfterCommit.Load())
	tag, err := c.Exec(context.Background(), insert)
	assert.NilError(t, err)
	assert.Equal(t, tag.String(), "INSERT 0 1")
	assert.Equal(t, queryInt(t, c, "SELECT count(*) FROM bids"), int64(1))
	assert.Equal(t, f.counter("proxy.request_ids.replayed"), int64(1))
}

// Guards against an unreplicated write that is acknowledged, at first or when
// it is repeated.
func TestUnacknowledgedWriteIsUnknown(t *testing.T) {
	f := newFixture(t, fixtureConfig{})
	c := f.connectPgx("")
	mustExec(t, c, "CREATE TABLE bids (id bigint PRIMARY KEY)")
	const insert = "/* vh.request_id='u1' */ INSERT INTO bids VALUES (1)"
	f.acks.blockReplication.Store(true)
	start := time.Now()
	_, err := c.Exec(context.Background(), "INSERT INTO bids VALUES (0)")
	assertErrorContains(t, err, "08007")
	assertErrorContains(t, err, "outcome unknown")
	assert.Assert(t, time.Since(start) < 2*time.Second)
	for range 2 {
		_, err = c.Exec(context.Background(), insert)
		assertErrorContains(t, err, "08007")
	}
	f.acks.blockReplication.Store(false)
	mustExec(t, c, insert)
	assert.Equal(t, queryInt(t, c, "SELECT count(*) FROM bids"), int64(2))
	tx, err := c.Begin(context.Background())
	assert.NilError(t, err)
	_, err = tx.Exec(context.Background(), "INSERT INTO bids VALUES (3)")
	assert.NilError(t, err)
	f.acks.blockReplication.Store(true)
	assertErrorContains(t, tx.Commit(context.Background()), "08007")
}

// Guards against a repeat that runs again because it reaches another instance,
// or a group with a new primary, also when both attempts run at once.
func TestRepeatThroughAnotherInstance(t *testing.T) {
	f := newFixture(t, fixtureConfig{})
	a := f.connectPgx("")
	ctx := context.Background()
	second := strings.Replace(f.url(""), f.srv.Addr().String(), f.startSecondInstance(), 1)
	b, err := pgx.Connect(ctx, second)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = b.Close(ctx) })
	mustExec(t, a, "CREATE TABLE bids (id integer PRIMARY KEY AUTOINCREMENT, amount bigint)")
	for i := range 10 {
		sql := fmt.Sprintf("/* vh.request_id='both-%d' */ INSERT INTO bids (amount) VALUES ($1) RETURNING id", i)
		var ids [2]int64
		var wg sync.WaitGroup
		for j, c := range []*pgx.Conn{a, b} {
			wg.Add(1)
			go func() {
				defer wg.Done()
				for range 50 {
					err := c.QueryRow(ctx, sql, 5).Scan(&ids[j])
					if err == nil {
						return
					}
					// Only a refusal that is proved not to have run may be repeated here.
					if !strings.Contains(err.Error(), "not run") {
						t.Error(err)
						return
					}
				}
			}()
		}
		wg.Wait()
		assert.Equal(t, ids[0], ids[1])
	}
	assert.Equal(t, queryInt(t, a, "SELECT count(*) FROM bids"), int64(10))

	promote(t, f, 1)
	deadline := time.Now().Add(3 * time.Second)
	for {
		var id int64
		err := b.QueryRow(ctx, "/* vh.request_id='both-3' */ INSERT INTO bids (amount) VALUES ($1) RETURNING id", 5).Scan(&id)
		if err == nil {
			assert.Equal(t, id, int64(4))
			break
		}
		assert.Assert(t, time.Now().Before(deadline), "%v", err)
	}
	assert.Equal(t, queryInt(t, b, "SELECT count(*) FROM bids"), int64(10))
}
