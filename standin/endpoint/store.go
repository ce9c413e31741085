package endpoint

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// lockTimeout bounds the wait for the place of the one writer of a database.
const lockTimeout = 10 * time.Second

// maxIdleReaders bounds the read connections that a database keeps open.
const maxIdleReaders = 8

// store holds the database files of one generation. Truncating the log makes
// a new generation, built by replay.
type store struct {
	dir string

	mu     sync.Mutex
	dbs    map[string]*database
	closed bool
}

func newStore(dir string) (*store, error) {
	d, err := os.MkdirTemp(dir, "gen-")
	if err != nil {
		return nil, fmt.Errorf("create the database directory: %w", err)
	}
	return &store{dir: d, dbs: map[string]*database{}}, nil
}

// database is one database: a file, one writer and several readers.
type database struct {
	st   *store
	name string
	path string
	// writer holds one token: the place of the one writer.
	writer chan struct{}

	mu      sync.Mutex
	write   *db
	readers []*db
}

// open returns a database, creating it when it is first named.
func (s *store) open(name string) (*database, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil, staleTerm("the endpoint's data has been replaced")
	}
	if d, ok := s.dbs[name]; ok {
		return d, nil
	}
	d := &database{st: s, name: name, path: filepath.Join(s.dir, fmt.Sprintf("db%d.sqlite", len(s.dbs))), writer: make(chan struct{}, 1)}
	w, err := openDB(d.path, false)
	if err != nil {
		return nil, err
	}
	d.write = w
	d.writer <- struct{}{}
	s.dbs[name] = d
	return d, nil
}

// close closes all idle connections and removes the files. Connections in use
// are closed when they are given back.
func (s *store) close() {
	s.mu.Lock()
	s.closed = true
	dbs := s.dbs
	s.mu.Unlock()
	for _, d := range dbs {
		d.mu.Lock()
		for _, r := range d.readers {
			r.close()
		}
		d.readers = nil
		d.mu.Unlock()
		select {
		case <-d.writer:
			d.write.close()
		default:
		}
	}
	os.RemoveAll(s.dir)
}

func (s *store) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

func (d *database) lockWriter(ctx context.Context) (*db, error) {
	t := time.NewTimer(lockTimeout)
	defer t.Stop()
	select {
	case <-d.writer:
		if d.st.isClosed() {
			d.write.close()
			return nil, staleTerm("the endpoint's data has been replaced")
		}
		return d.write, nil
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	case <-t.C:
		return nil, errorf("55P03", "could not obtain the write lock within %s", lockTimeout)
	}
}

func (d *database) unlockWriter() {
	if d.st.isClosed() {
		d.write.close()
		return
	}
	d.writer <- struct{}{}
}

func (d *database) borrowReader() (*db, error) {
	d.mu.Lock()
	if n := len(d.readers); n > 0 {
		r := d.readers[n-1]
		d.readers = d.readers[:n-1]
		d.mu.Unlock()
		return r, nil
	}
	d.mu.Unlock()
	return openDB(d.path, true)
}

func (d *database) returnReader(r *db) {
	if !d.st.isClosed() {
		d.mu.Lock()
		if len(d.readers) < maxIdleReaders {
			d.readers = append(d.readers, r)
			d.mu.Unlock()
			return
		}
		d.mu.Unlock()
	}
	r.close()
}
