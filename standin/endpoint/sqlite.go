package endpoint

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"

	"modernc.org/libc"
	sqlite3 "modernc.org/sqlite/lib"
)

// sqliteError is an error of the SQL engine with its extended result code.
type sqliteError struct {
	code    int32
	message string
}

func (e *sqliteError) Error() string { return e.message }

// db is one connection to a database file. The package uses the engine's C
// interface and not database/sql, because Describe needs the columns of a
// statement that has not run. A db must not be used by two goroutines at once.
type db struct {
	tls    *libc.TLS
	handle uintptr
	cached map[string]*stmt
}

// maxCachedStatements bounds the prepared statements kept per connection.
const maxCachedStatements = 200

// openDB opens a database file in WAL mode, so that readers never wait for
// the writer.
func openDB(path string, readOnly bool) (*db, error) {
	d := &db{tls: libc.NewTLS(), cached: map[string]*stmt{}}
	name, err := libc.CString(path)
	if err != nil {
		d.tls.Close()
		return nil, err
	}
	defer libc.Xfree(d.tls, name)
	out := libc.Xmalloc(d.tls, 8)
	defer libc.Xfree(d.tls, out)
	rc := sqlite3.Xsqlite3_open_v2(d.tls, name, out, sqlite3.SQLITE_OPEN_READWRITE|sqlite3.SQLITE_OPEN_CREATE|sqlite3.SQLITE_OPEN_NOMUTEX, 0)
	d.handle = readPointer(out)
	if rc != sqlite3.SQLITE_OK {
		d.close()
		return nil, fmt.Errorf("open %s: result code %d", path, rc)
	}
	sqlite3.Xsqlite3_extended_result_codes(d.tls, d.handle, 1)
	sqlite3.Xsqlite3_busy_timeout(d.tls, d.handle, 5000)
	// Durability against power loss is not needed: a restarted endpoint
	// copies the log again.
	pragmas := []string{"PRAGMA journal_mode=WAL", "PRAGMA synchronous=OFF", "PRAGMA foreign_keys=ON"}
	if readOnly {
		pragmas = append(pragmas, "PRAGMA query_only=ON")
	}
	for _, p := range pragmas {
		if _, err := d.exec(context.Background(), p, nil); err != nil {
			d.close()
			return nil, fmt.Errorf("open %s: %w", path, err)
		}
	}
	return d, nil
}

func readPointer(p uintptr) uintptr {
	return uintptr(binary.LittleEndian.Uint64(libc.GoBytes(p, 8)))
}

func (d *db) close() {
	for _, s := range d.cached {
		sqlite3.Xsqlite3_finalize(d.tls, s.handle)
	}
	d.cached = nil
	if d.handle != 0 {
		sqlite3.Xsqlite3_close_v2(d.tls, d.handle)
		d.handle = 0
	}
	d.tls.Close()
}

func (d *db) err(rc int32) error {
	return &sqliteError{code: rc, message: libc.GoString(sqlite3.Xsqlite3_errmsg(d.tls, d.handle))}
}

// inTx reports whether a transaction is open.
func (d *db) inTx() bool { return sqlite3.Xsqlite3_get_autocommit(d.tls, d.handle) == 0 }

// stmt is one prepared statement.
type stmt struct {
	d        *db
	handle   uintptr
	params   int
	readOnly bool
	columns  []column
}

// column describes one result column.
type column struct {
	name     string
	declType string
}

var errEmptyStatement = errors.New("empty statement")

// prepare returns the cached or newly prepared statement.
func (d *db) prepare(sql string) (*stmt, error) {
	if s, ok := d.cached[sql]; ok {
		return s, nil
	}
	text, err := libc.CString(sql)
	if err != nil {
		return nil, err
	}
	defer libc.Xfree(d.tls, text)
	out := libc.Xmalloc(d.tls, 8)
	defer libc.Xfree(d.tls, out)
	if rc := sqlite3.Xsqlite3_prepare_v2(d.tls, d.handle, text, -1, out, 0); rc != sqlite3.SQLITE_OK {
		return nil, d.err(rc)
	}
	s := &stmt{d: d, handle: readPointer(out)}
	if s.handle == 0 {
		return nil, errEmptyStatement
	}
	s.params = int(sqlite3.Xsqlite3_bind_parameter_count(d.tls, s.handle))
	s.readOnly = sqlite3.Xsqlite3_stmt_readonly(d.tls, s.handle) != 0
	s.describe()
	if len(d.cached) >= maxCachedStatements {
		for k, old := range d.cached {
			sqlite3.Xsqlite3_finalize(d.tls, old.handle)
			delete(d.cached, k)
			break
		}
	}
	d.cached[sql] = s
	return s, nil
}

// describe reads the columns; a schema change can alter them.
func (s *stmt) describe() {
	d := s.d
	n := int32(sqlite3.Xsqlite3_column_count(d.tls, s.handle))
	s.columns = make([]column, n)
	for i := range n {
		s.columns[i].name = libc.GoString(sqlite3.Xsqlite3_column_name(d.tls, s.handle, i))
		if p := sqlite3.Xsqlite3_column_decltype(d.tls, s.handle, i); p != 0 {
			s.columns[i].declType = libc.GoString(p)
		}
	}
}

// result is the complete result of one statement. Values are nil, int64,
// float64, string or []byte.
type result struct {
	columns []column
	rows    [][]any
	changes int64
}

// exec runs one statement to its end. Cancelling ctx interrupts it.
func (d *db) exec(ctx context.Context, sql string, args []any) (*result, error) {
	s, err := d.prepare(sql)
	if err != nil {
		return nil, err
	}
	return s.run(ctx, args, 0)
}

// run executes the statement; limit, if not 0, stops it after that many rows.
func (s *stmt) run(ctx context.Context, args []any, limit int) (*result, error) {
	d := s.d
	var allocated []uintptr
	defer func() {
		sqlite3.Xsqlite3_reset(d.tls, s.handle)
		sqlite3.Xsqlite3_clear_bindings(d.tls, s.handle)
		for _, p := range allocated {
			libc.Xfree(d.tls, p)
		}
	}()
	for i := range s.params {
		var v any
		if i < len(args) {
			v = args[i]
		}
		n := int32(i + 1)
		var rc int32
		switch v := v.(type) {
		case nil:
			rc = sqlite3.Xsqlite3_bind_null(d.tls, s.handle, n)
		case int64:
			rc = sqlite3.Xsqlite3_bind_int64(d.tls, s.handle, n, v)
		case float64:
			rc = sqlite3.Xsqlite3_bind_double(d.tls, s.handle, n, v)
		case string:
			p, err := libc.CString(v)
			if err != nil {
				return nil, err
			}
			allocated = append(allocated, p)
			rc = sqlite3.Xsqlite3_bind_text(d.tls, s.handle, n, p, int32(len(v)), 0)
		case []byte:
			p, err := libc.CString(string(v))
			if err != nil {
				return nil, err
			}
			allocated = append(allocated, p)
			rc = sqlite3.Xsqlite3_bind_blob(d.tls, s.handle, n, p, int32(len(v)), 0)
		default:
			return nil, fmt.Errorf("parameter %d has the unsupported type %T", n, v)
		}
		if rc != sqlite3.SQLITE_OK {
			return nil, d.err(rc)
		}
	}
	if ctx.Done() != nil {
		interrupted := make(chan struct{})
		stop := context.AfterFunc(ctx, func() {
			defer close(interrupted)
			tls := libc.NewTLS()
			sqlite3.Xsqlite3_interrupt(tls, d.handle)
			tls.Close()
		})
		// A late interrupt must not hit the next statement on this connection.
		defer func() {
			if !stop() {
				<-interrupted
			}
		}()
	}
	r := &result{}
	before := sqlite3.Xsqlite3_total_changes(d.tls, d.handle)
	for {
		rc := sqlite3.Xsqlite3_step(d.tls, s.handle)
		if rc == sqlite3.SQLITE_DONE {
			break
		}
		if rc != sqlite3.SQLITE_ROW {
			return nil, d.err(rc)
		}
		if r.rows == nil {
			s.describe()
		}
		r.rows = append(r.rows, s.row())
		if limit > 0 && len(r.rows) >= limit {
			break
		}
	}
	if sqlite3.Xsqlite3_total_changes(d.tls, d.handle) != before {
		r.changes = int64(sqlite3.Xsqlite3_changes(d.tls, d.handle))
	}
	r.columns = s.columns
	return r, nil
}

func (s *stmt) row() []any {
	d := s.d
	row := make([]any, len(s.columns))
	for i := range row {
		n := int32(i)
		switch sqlite3.Xsqlite3_column_type(d.tls, s.handle, n) {
		case sqlite3.SQLITE_INTEGER:
			row[i] = int64(sqlite3.Xsqlite3_column_int64(d.tls, s.handle, n))
		case sqlite3.SQLITE_FLOAT:
			row[i] = float64(sqlite3.Xsqlite3_column_double(d.tls, s.handle, n))
		case sqlite3.SQLITE_TEXT:
			p := sqlite3.Xsqlite3_column_text(d.tls, s.handle, n)
			row[i] = string(libc.GoBytes(p, int(sqlite3.Xsqlite3_column_bytes(d.tls, s.handle, n))))
		case sqlite3.SQLITE_BLOB:
			p := sqlite3.Xsqlite3_column_blob(d.tls, s.handle, n)
			row[i] = append([]byte{}, libc.GoBytes(p, int(sqlite3.Xsqlite3_column_bytes(d.tls, s.handle, n)))...)
		}
	}
	return row
}
