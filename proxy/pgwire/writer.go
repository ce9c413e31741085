package pgwire

import (
	"encoding/binary"
	"io"

	"github.com/jackc/pgx/v5/pgproto3"
)

// flushSize is the amount of buffered output after which Add writes. Larger
// values delay the first row, smaller ones cost a system call per few rows.
const flushSize = 16 << 10

// Encoder is a message of either side.
type Encoder interface {
	Encode(dst []byte) ([]byte, error)
}

// Writer collects messages and writes them in batches.
type Writer struct {
	w       io.Writer
	buf     []byte
	held    bool
	written bool
	before  func()
}

// NewWriter returns a writer.
func NewWriter(w io.Writer) *Writer { return &Writer{w: w, buf: make([]byte, 0, 4<<10)} }

// Reset makes the writer write to another stream and drops what is buffered.
func (w *Writer) Reset(dst io.Writer) { w.w, w.buf, w.held = dst, w.buf[:0], false }

// SetBeforeWrite sets a function that is called before each write.
func (w *Writer) SetBeforeWrite(f func()) { w.before = f }

// Hold stops automatic flushes, so that everything added from now on stays in
// the buffer until Flush.
func (w *Writer) Hold() { w.held = true }

// Held reports whether output is held.
func (w *Writer) Held() bool { return w.held }

// Len returns the number of buffered bytes.
func (w *Writer) Len() int { return len(w.buf) }

// Truncate drops everything buffered after the first n bytes.
func (w *Writer) Truncate(n int) { w.buf = w.buf[:n] }

// Bytes returns what is buffered. It is valid until the next call.
func (w *Writer) Bytes() []byte { return w.buf }

// MarkUnwritten makes Written report false until bytes are written again.
func (w *Writer) MarkUnwritten() { w.written = false }

// Written reports whether bytes were written since MarkUnwritten.
func (w *Writer) Written() bool { return w.written }

// Add appends raw bytes and writes them once enough are buffered.
func (w *Writer) Add(raw []byte) error {
	w.buf = append(w.buf, raw...)
	if len(w.buf) >= flushSize && !w.held {
		return w.Flush()
	}
	return nil
}

// AppendFunc appends what f appends to its argument.
func (w *Writer) AppendFunc(f func(dst []byte) []byte) { w.buf = f(w.buf) }

// Encode appends a message.
func (w *Writer) Encode(m Encoder) error {
	b, err := m.Encode(w.buf)
	if err != nil {
		return err
	}
	w.buf = b
	return nil
}

// Flush writes everything buffered and ends Hold.
func (w *Writer) Flush() error {
	w.held = false
	if len(w.buf) == 0 {
		return nil
	}
	w.written = true
	if w.before != nil {
		w.before()
	}
	_, err := w.w.Write(w.buf)
	if cap(w.buf) > 16*flushSize {
		w.buf = make([]byte, 0, flushSize)
	}
	w.buf = w.buf[:0]
	return err
}

// ReadyForQuery appends a ReadyForQuery with the transaction status.
func (w *Writer) ReadyForQuery(status byte) {
	w.buf = append(w.buf, 'Z', 0, 0, 0, 5, status)
}

// CommandComplete appends a CommandComplete.
func (w *Writer) CommandComplete(tag string) {
	w.buf = append(w.buf, 'C')
	w.buf = binary.BigEndian.AppendUint32(w.buf, uint32(4+len(tag)+1))
	w.buf = append(w.buf, tag...)
	w.buf = append(w.buf, 0)
}

// ParameterStatus appends a ParameterStatus.
func (w *Writer) ParameterStatus(name, value string) {
	w.buf = append(w.buf, 'S')
	w.buf = binary.BigEndian.AppendUint32(w.buf, uint32(4+len(name)+1+len(value)+1))
	w.buf = append(w.buf, name...)
	w.buf = append(w.buf, 0)
	w.buf = append(w.buf, value...)
	w.buf = append(w.buf, 0)
}

// EmptyMessage appends a message without a body.
func (w *Writer) EmptyMessage(typ byte) { w.buf = append(w.buf, typ, 0, 0, 0, 4) }

// Query appends a simple query.
func (w *Writer) Query(sql string) {
	w.buf = append(w.buf, 'Q')
	w.buf = binary.BigEndian.AppendUint32(w.buf, uint32(4+len(sql)+1))
	w.buf = append(w.buf, sql...)
	w.buf = append(w.buf, 0)
}

// Error appends an ErrorResponse for err.
func (w *Writer) Error(severity string, err error) {
	b, encErr := ErrorResponse(severity, err).Encode(w.buf)
	if encErr == nil {
		w.buf = b
	}
}

var _ Encoder = (*pgproto3.ErrorResponse)(nil)
