package front

import (
	"context"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"gotest.tools/v3/assert"

	"github.com/vanillahinge/vanillahinge/standin/endpoint"
)

// A client must be able to read its own writes, in each query execution mode of
// pgx.
func TestReadYourWritesWithPgx(t *testing.T) {
	f := newFixture(t, fixtureConfig{})
	for _, mode := range []string{"simple_protocol", "exec", "cache_describe", "cache_statement", "describe_exec"} {
		t.Run(mode, func(t *testing.T) {
			c := f.connectPgx("default_query_exec_mode=" + mode)
			mustExec(t, c, "CREATE TABLE IF NOT EXISTS jobs (id bigint PRIMARY KEY, name text)")
			mustExec(t, c, "DELETE FROM jobs")
			for i := range 20 {
				mustExec(t, c, "INSERT INTO jobs VALUES ($1, $2)", i, "roof")
				assert.Equal(t, queryInt(t, c, "SELECT count(*) FROM jobs"), int64(i+1))
			}
			var name string
			assert.NilError(t, c.QueryRow(context.Background(), "SELECT name FROM jobs WHERE id = $1", 3).Scan(&name))
			assert.Equal(t, name, "roof")
		})
	}
	// On a busy machine the replicas may be behind the session's write each time, and the
	// primary is chosen; once nothing is written they serve.
	c := f.connectPgx("")
	for end := time.Now().Add(10 * time.Second); f.counter("proxy.reads.replica") == 0 && time.Now().Before(end); {
		queryInt(t, c, "SELECT count(*) FROM jobs")
		time.Sleep(time.Millisecond)
	}
	assert.Assert(t, f.counter("proxy.reads.replica") > 0)
}

// All statements of a transaction must run inside it: none is visible to other
// sessions before COMMIT, and none runs after a failed statement.
func TestTransactions(t *testing.T) {
	f := newFixture(t, fixtureConfig{})
	ctx := context.Background()
	c := f.connectPgx("")
	mustExec(t, c, "CREATE TABLE jobs (id bigint PRIMARY KEY)")
	tx, err := c.Begin(ctx)
	assert.NilError(t, err)
	_, err = tx.Exec(ctx, "INSERT INTO jobs VALUES ($1)", 1)
	assert.NilError(t, err)
	other := f.connectPgx("")
	assert.Equal(t, queryInt(t, other, "SELECT count(*) FROM jobs"), int64(0))
	assert.NilError(t, tx.Commit(ctx))
	assert.Equal(t, queryInt(t, c, "SELECT count(*) FROM jobs"), int64(1))

	tx, err = c.Begin(ctx)
	assert.NilError(t, err)
	_, err = tx.Exec(ctx, "INSERT INTO jobs VALUES (2)")
	assert.NilError(t, err)
	_, err = tx.Exec(ctx, "INSERT INTO jobs VALUES (1)")
	assertErrorContains(t, err, "23505")
	_, err = tx.Exec(ctx, "SELECT 1")
	assertErrorContains(t, err, "25P02")
	assert.NilError(t, tx.Rollback(ctx))
	assert.Equal(t, queryInt(t, c, "SELECT count(*) FROM jobs"), int64(1))

	ro, err := c.BeginTx(ctx, pgx.TxOptions{AccessMode: pgx.ReadOnly})
	assert.NilError(t, err)
	var n int
	assert.NilError(t, ro.QueryRow(ctx, "SELECT count(*) FROM jobs").Scan(&n))
	assert.Equal(t, n, 1)
	_, err = ro.Exec(ctx, "INSERT INTO jobs VALUES (3)")
	assertErrorContains(t, err, "25006")
	assert.NilError(t, ro.Rollback(ctx))
}

// lib/pq prepares and executes statements in separate pipelines, each of which
// can run on a different server connection.
func TestLibPQPreparedStatements(t *testing.T) {
	f := newFixture(t, fixtureConfig{})
	db := f.openPQ("")
	_, err := db.Exec("CREATE TABLE jobs (id bigint PRIMARY KEY, name text)")
	assert.NilError(t, err)
	st, err := db.Prepare("INSERT INTO jobs VALUES ($1, $2)")
	assert.NilError(t, err)
	defer st.Close()
	for i := range 10 {
		_, err := st.Exec(i, "x")
		assert.NilError(t, err)
	}
	var n int
	assert.NilError(t, db.QueryRow("SELECT count(*) FROM jobs WHERE name = $1", "x").Scan(&n))
	assert.Equal(t, n, 10)
	tx, err := db.Begin()
	assert.NilError(t, err)
	_, err = tx.Exec("UPDATE jobs SET name = $1 WHERE id = $2", "y", 4)
	assert.NilError(t, err)
	assert.NilError(t, tx.Commit())
	assert.NilError(t, db.QueryRow("SELECT count(*) FROM jobs WHERE name = 'y'").Scan(&n))
	assert.Equal(t, n, 1)
}

// A pipeline must be answered completely and in order, and a failed statement
// must roll all of it back.
func TestPipelinedBatch(t *testing.T) {
	f := newFixture(t, fixtureConfig{})
	ctx := context.Background()
	c := f.connectPgx("")
	mustExec(t, c, "CREATE TABLE jobs (id bigint PRIMARY KEY)")
	b := &pgx.Batch{}
	for i := range 500 {
		b.Queue("INSERT INTO jobs VALUES ($1)", i)
	}
	b.Queue("SELECT count(*) FROM jobs")
	r := c.SendBatch(ctx, b)
	for range 500 {
		tag, err := r.Exec()
		assert.NilError(t, err)
		assert.Equal(t, tag.RowsAffected(), int64(1))
	}
	var n int
	assert.NilError(t, r.QueryRow().Scan(&n))
	assert.Equal(t, n, 500)
	assert.NilError(t, r.Close())

	b = &pgx.Batch{}
	b.Queue("INSERT INTO jobs VALUES ($1)", 1000)
	b.Queue("INSERT INTO jobs VALUES ($1)", 1)
	b.Queue("INSERT INTO jobs VALUES ($1)", 1001)
	assertErrorContains(t, c.SendBatch(ctx, b).Close(), "23505")
	assert.Equal(t, queryInt(t, c, "SELECT count(*) FROM jobs"), int64(500))
}

// A read at the primary must not return a write that no second endpoint has
// yet, because a promotion could lose that write.
func TestReadReturnsOnlyReplicatedWrites(t *testing.T) {
	// The time limit of replication is far above the delay of the replicas, so that the
	// load of the machine does not decide.
	f := newFixture(t, fixtureConfig{options: func(o *Options) { o.AckTimeout = 20 * time.Second }})
	ctx := context.Background()
	mustExec(t, f.connectPgx(""), "CREATE TABLE jobs (id bigint)")
	replicated := func() bool {
		at := f.endpoints[0].Status().Received
		return f.endpoints[1].Status().Received >= at || f.endpoints[2].Status().Received >= at
	}
	for _, inTx := range []bool{false, true} {
		mustExec(t, f.connectPgx(""), "DELETE FROM jobs")
		for _, e := range f.endpoints[1:] {
			e.SetFaults(func(x *endpoint.Faults) { x.ReceiveDelay = 200 * time.Millisecond })
		}
		writer, written := f.connectPgx(""), make(chan error, 1)
		go func() {
			_, err := writer.Exec(ctx, "INSERT INTO jobs VALUES (1)")
			written <- err
		}()
		c, n := f.connectPgx(""), int64(0)
		for n == 0 {
			if inTx {
				mustExec(t, c, "BEGIN READ WRITE")
			}
			n = queryInt(t, c, "SELECT count(*) FROM jobs")
			assert.Assert(t, n == 0 || replicated(), "a read returned an unreplicated write (in a transaction: %v)", inTx)
			if inTx {
				mustExec(t, c, "ROLLBACK")
			}
		}
		assert.NilError(t, <-written)
		for _, e := range f.endpoints[1:] {
			e.SetFaults(func(x *endpoint.Faults) { x.ReceiveDelay = 0 })
		}
	}
}

// A read of a write that is not replicated fails while replication cannot be
// established.
func TestReadFailsWhileReplicationIsBlocked(t *testing.T) {
	f := newFixture(t, fixtureConfig{})
	mustExec(t, f.connectPgx(""), "CREATE TABLE jobs (id bigint)")
	f.acks.blockReplication.Store(true)
	_, err := f.connectPgx("").Exec(context.Background(), "SELECT count(*) FROM jobs")
	assertErrorContains(t, err, "VH503")
}
