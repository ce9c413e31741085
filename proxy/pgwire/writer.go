package pgwire

import (
	"encoding/binary"
	"io"

	"github.com/jackc/pgx/v5/pgproto3"
)

// flushSize is the number of buffered bytes at which Add flushes. A larger value
// delays the first row; a smaller one costs a system call every few rows.
const flushSize = 16 << 10

// Encoder is a message that a Writer can encode, from the frontend or the
// backend. The messages of pgproto3 implement it.
type Encoder interface {
	Encode(dst []byte) ([]byte, error)
}

// Writer buffers messages and writes them in batches.
type Writer struct {
	dst         io.Writer
	buf         []byte
	held        bool
	written     bool
	beforeWrite func()
}

// NewWriter returns a Writer that writes to dst.
func NewWriter(dst io.Writer) *Writer { return &Writer{dst: dst, buf: make([]byte, 0, 4<<10)} }

// Reset makes the Writer write to another stream and discards buffered messages.
func (w *Writer) Reset(dst io.Writer) { w.dst, w.buf, w.held = dst, w.buf[:0], false }

// SetBeforeWrite sets a function that is called before each write to the stream.
func (w *Writer) SetBeforeWrite(f func()) { w.beforeWrite = f }

// Hold disables automatic flushes, so that messages added from now on stay in the
// buffer until Flush.
func (w *Writer) Hold() { w.held = true }

// Held reports whether automatic flushes are disabled.
func (w *Writer) Held() bool { return w.held }

// Len returns the number of buffered bytes.
func (w *Writer) Len() int { return len(w.buf) }

// Truncate discards all but the first n buffered bytes.
func (w *Writer) Truncate(n int) { w.buf = w.buf[:n] }

// Bytes returns the buffered bytes. They are valid until the next call of a
// method that changes the buffer.
func (w *Writer) Bytes() []byte { return w.buf }

// MarkUnwritten makes Written report false until bytes are written again.
func (w *Writer) MarkUnwritten() { w.written = false }

// Written reports whether bytes were written since MarkUnwritten.
func (w *Writer) Written() bool { return w.written }

// Add appends encoded messages and flushes once flushSize bytes are buffered,
// unless output is held.
func (w *Writer) Add(raw []byte) error {
	w.buf = append(w.buf, raw...)
	if len(w.buf) >= flushSize && !w.held {
		return w.Flush()
	}
	return nil
}

// AppendFunc calls f to append an encoded message to the buffer. f must return
// the extended slice.
func (w *Writer) AppendFunc(f func(dst []byte) []byte) { w.buf = f(w.buf) }

// Encode encodes a message and appends it.
func (w *Writer) Encode(m Encoder) error {
	b, err := m.Encode(w.buf)
	if err != nil {
		return err
	}
	w.buf = b
	return nil
}

// Flush writes all buffered bytes and enables automatic flushes again.
func (w *Writer) Flush() error {
	w.held = false
	if len(w.buf) == 0 {
		return nil
	}
	w.written = true
	if w.beforeWrite != nil {
		w.beforeWrite()
	}
	_, err := w.dst.Write(w.buf)
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

// EmptyMessage appends a message of the type without a body.
func (w *Writer) EmptyMessage(typ byte) { w.buf = append(w.buf, typ, 0, 0, 0, 4) }

// Query appends a simple query message.
func (w *Writer) Query(sql string) {
	w.buf = append(w.buf, 'Q')
	w.buf = binary.BigEndian.AppendUint32(w.buf, uint32(4+len(sql)+1))
	w.buf = append(w.buf, sql...)
	w.buf = append(w.buf, 0)
}

// Error appends an ErrorResponse for err. If encoding fails, nothing is appended.
func (w *Writer) Error(severity string, err error) {
	b, encErr := ErrorResponse(severity, err).Encode(w.buf)
	if encErr == nil {
		w.buf = b
	}
}

var _ Encoder = (*pgproto3.ErrorResponse)(nil)
