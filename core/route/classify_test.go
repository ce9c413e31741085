package route

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/vanillahinge/vanillahinge/core/outcome"
)

// TestClassify guards against writes classified as reads, and against session
// state that leaks into a pooled connection.
func TestClassify(t *testing.T) {
	for _, c := range []struct {
		sql  string
		kind Kind
		// detail lists the other fields that are set, in the order id=...,
		// refused, local, chain, ro, rw, name=..., value=...
		detail string
	}{
		{"", Empty, ""},
		{" ; -- nothing\n;", Empty, ""},
		{"SELECT 1", Read, ""},
		{"select 1;", Read, ""},
		{"/* a /* nested */ b */ -- line\n (SELECT 1) UNION (SELECT 2)", Read, ""},
		{"VALUES (1)", Read, ""},
		{"TABLE jobs", Read, ""},
		{"WITH a AS (SELECT 1) SELECT * FROM a", Read, ""},
		{"WITH a AS (DELETE FROM jobs RETURNING *) SELECT * FROM a", Write, ""},
		{"SELECT * INTO copy FROM jobs", Write, ""},
		{"SELECT * INTO TEMP copy FROM jobs", Write, "refused"},
		{"SELECT * FROM jobs FOR UPDATE", Write, ""},
		{"SELECT * FROM jobs FOR NO KEY UPDATE", Write, ""},
		{"SELECT * FROM jobs FOR KEY SHARE", Write, ""},
		{"SELECT 'FOR UPDATE; DELETE', \"into\", $$ delete $$, $x$ ; $y$ $x$, E'\\'; delete' FROM jobs", Read, ""},
		{"SELECT substring(a FOR 3), $1::text FROM jobs -- for update", Read, ""},
		{"SELECT U&'x;y', N'a', 1e5, 0x1F", Read, ""},
		{"SELECT 1; SELECT 2", MultiStatement, ""},
		{"SELECT 1; DELETE FROM jobs", MultiStatement, ""},
		{"SELECT pg_advisory_lock(1)", Read, "refused"},
		{"SELECT \"pg_try_advisory_lock\"(1)", Read, "refused"},
		{"SELECT PG_ADVISORY_XACT_LOCK(1)", Write, ""},
		{"SELECT set_config('search_path', 'x', false)", Read, "refused"},
		{"EXPLAIN DELETE FROM jobs", Read, ""},
		{"EXPLAIN (ANALYZE) SELECT 1", Write, ""},
		{"INSERT INTO jobs VALUES (1)", Write, ""},
		{"'garbage'", Write, ""},
		{"CREATE TABLE temp (a int)", Write, ""},
		{"CREATE TEMP TABLE a (b int)", Write, "refused"},
		{"create local temporary view v as select 1", Write, "refused"},
		{"CREATE TABLE pg_temp.a (b int)", Write, "refused"},
		{"BEGIN", Begin, ""},
		{"BEGIN READ ONLY", Begin, "ro"},
		{"START TRANSACTION ISOLATION LEVEL READ COMMITTED, READ WRITE", Begin, "rw"},
		{"COMMIT", Commit, ""},
		{"END WORK", Commit, ""},
		{"COMMIT AND CHAIN", Commit, "chain"},
		{"ROLLBACK AND NO CHAIN", Rollback, ""},
		{"ABORT", Rollback, ""},
		{"ROLLBACK WORK TO SAVEPOINT a", Savepoint, ""},
		{"SAVEPOINT a", Savepoint, ""},
		{"COMMIT PREPARED 'x'", TwoPhase, "refused"},
		{"PREPARE TRANSACTION 'x'", TwoPhase, "refused"},
		{"PREPARE p AS SELECT 1", Prepare, "refused name=p"},
		{"EXECUTE p(1)", Execute, "refused name=p"},
		{"DEALLOCATE PREPARE \"P\"", Deallocate, "name=P"},
		{"DEALLOCATE ALL", Deallocate, ""},
		{"SET vh.max_age = '2s'", Set, "name=vh.max_age value=2s"},
		{"SET SESSION Application_Name TO 'o''brien'", Set, "name=application_name value=o'brien"},
		{"SET search_path TO a, 'b'", Set, "name=search_path value=a,'b'"},
		{"SET LOCAL x = 1;", Set, "local name=x value=1"},
		{"SET TIME ZONE 'UTC'", Set, "name=timezone value=UTC"},
		{"SET x TO DEFAULT", Set, "name=x"},
		{"SET TRANSACTION READ ONLY", Set, "local ro name=transaction"},
		{"SET SESSION CHARACTERISTICS AS TRANSACTION READ ONLY", Set, "ro name=characteristics"},
		{"SET CONSTRAINTS ALL DEFERRED", Write, "name=constraints"},
		{"SET ROLE admin", Set, "refused name=role"},
		{"SET SESSION AUTHORIZATION x", Set, "refused name=authorization"},
		{"SET standard_conforming_strings = off", Set, "refused name=standard_conforming_strings value=off"},
		{"SET x = 1; SELECT 1", MultiStatement, "refused"},
		{"BEGIN; SET LOCAL x = 1; UPDATE jobs SET a = 1; COMMIT", MultiStatement, ""},
		{"BEGIN READ ONLY; SELECT 1", MultiStatement, "ro"},
		{"SELECT 1; RESET ALL", MultiStatement, "refused"},
		{"RESET ALL", Reset, ""},
		{"RESET \"DateStyle\"", Reset, "name=datestyle"},
		{"SHOW vh.token", Show, "name=vh.token"},
		{"SHOW TIME ZONE", Show, "name=timezone"},
		{"DISCARD ALL", Discard, "name=all"},
		{"COPY jobs FROM STDIN", Copy, "refused"},
		{"LISTEN c", Listen, "refused"},
		{"UNLISTEN *", Listen, ""},
		{"NOTIFY c", Notify, ""},
		{"DECLARE c CURSOR FOR SELECT 1", Declare, ""},
		{"DECLARE c CURSOR WITH HOLD FOR SELECT 1", Declare, "refused"},
		{"MOVE c", Fetch, ""},
		{"CLOSE c", CloseCursor, ""},
		{"/* vh.request_id='a-1' */ INSERT INTO jobs VALUES (1)", Write, "id=a-1"},
		{"/* app */\n/*vh.request_id = 'a-1'*/UPDATE jobs SET a = 1", Write, "id=a-1"},
		{"INSERT /* vh.request_id='a' */ INTO jobs VALUES (1)", Write, ""},
		{"/* vh.request_id=a */ UPDATE jobs SET a = 1", Write, "refused"},
		{"/* vh.request_id='' */ UPDATE jobs SET a = 1", Write, "refused"},
		{"/* vh.request_id='a' *//* vh.request_id='b' */ UPDATE jobs SET a = 1", Write, "id=a refused"},
	} {
		st := Classify(c.sql)
		var got []string
		add := func(on bool, s string) {
			if on {
				got = append(got, s)
			}
		}
		add(st.RequestID != "", "id="+st.RequestID)
		add(st.Refusal != nil, "refused")
		add(st.Local, "local")
		add(st.Chain, "chain")
		add(st.Access == AccessReadOnly, "ro")
		add(st.Access == AccessReadWrite, "rw")
		add(st.Name != "", "name="+st.Name)
		add(st.Value != "" && st.Name != "", "value="+strings.ReplaceAll(st.Value, " ", ""))
		assert.Equal(t, st.Kind, c.kind, "%s", c.sql)
		assert.Equal(t, strings.Join(got, " "), c.detail, "%s", c.sql)
		if st.Refusal != nil {
			assert.Equal(t, st.Refusal.Outcome, outcome.NotRun)
			assert.Assert(t, st.Refusal.Remedy != "")
		}
	}
	st := Classify("BEGIN; DELETE FROM jobs; COMMIT")
	assert.Assert(t, st.Contains(Begin) && st.Contains(Write) && st.Contains(Commit) && !st.Contains(Read))
}

// FuzzClassify guards against panics, against leading comments that change the
// classification, and against a statement after a read that is overlooked.
func FuzzClassify(f *testing.F) {
	for _, s := range []string{"SELECT 1", "SET a.b = 'c'", "BEGIN READ ONLY", "SELECT $a$ x $a$", "/*", "E'\\",
		"/* vh.request_id='a' */ COMMIT AND CHAIN", "DECLARE c CURSOR WITH HOLD FOR SELECT 1", "SET \"", "U&'"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, sql string) {
		st := Classify(sql)
		prefixed := Classify(" /* a /* b */ */ -- c\n" + sql)
		assert.Equal(t, prefixed.Kind, st.Kind)
		assert.Equal(t, prefixed.RequestID, st.RequestID)
		assert.Equal(t, prefixed.Refusal, st.Refusal)
		// With a SELECT in front, the query has several statements and must
		// still report the kind of the original one.
		combined := Classify("SELECT 1; " + sql)
		if st.Kind == Empty {
			assert.Equal(t, combined.Kind, Read)
			return
		}
		assert.Equal(t, combined.Kind, MultiStatement)
		if st.Kind != MultiStatement {
			assert.Assert(t, combined.Contains(st.Kind))
		}
	})
}

func BenchmarkClassifyRead(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		Classify("SELECT id, crew, roof FROM jobs WHERE day = $1 AND data_centre = $2 ORDER BY id LIMIT 50")
	}
}

func BenchmarkClassifyWrite(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		Classify("/* vh.request_id='booking-81' */ INSERT INTO jobs (roof, crew) VALUES ($1, $2) RETURNING id")
	}
}
