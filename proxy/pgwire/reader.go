// Package pgwire reads and writes PostgreSQL v3 protocol messages. It splits a
// byte stream into messages without decoding them, enforces size limits, decodes
// the messages that the proxy needs to inspect, and builds the error responses
// that are sent to callers.
package pgwire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// Size limits in bytes. MaxStartup is the limit of PostgreSQL itself.
// MaxCallerMessage keeps one connection from exhausting the memory of the
// instance.
const (
	MaxStartup       = 10_000
	MaxAuthMessage   = 8 << 10
	MaxCallerMessage = 16 << 20
	MaxServerMessage = 64 << 20
)

const (
	headerLen  = 5       // type byte and length
	bufferSize = 8 << 10 // initial size of the read buffer, in bytes
)

// Codes of startup packets: protocol versions and special requests.
const (
	Protocol30 = 196608
	Protocol32 = 196610
	CodeCancel = 80877102
	CodeSSL    = 80877103
	CodeGSSEnc = 80877104
)

// minStartupLen is the size of a startup packet with length and code only.
const minStartupLen = 8

// ErrTooLarge is returned for a message that exceeds the size limit of its
// connection.
var ErrTooLarge = errors.New("message exceeds the size limit")

// ErrMalformed is returned for a message that violates the protocol, such as one
// with an invalid length or type.
var ErrMalformed = errors.New("malformed message")

// Frame is one complete message: a type byte, a length and a body. It aliases the
// buffer of its Reader and is valid until the next read.
type Frame []byte

// Type returns the message type.
func (f Frame) Type() byte { return f[0] }

// Body returns the message without its header.
func (f Frame) Body() []byte { return f[headerLen:] }

// Reader splits a byte stream into frames.
type Reader struct {
	src io.Reader
	buf []byte
	// Bytes from readPos to writePos have been received but not consumed.
	readPos, writePos int
	limit             int // largest length that Next accepts, in bytes
}

// NewReader returns a Reader that rejects messages longer than limit bytes.
func NewReader(r io.Reader, limit int) *Reader {
	return &Reader{src: r, buf: make([]byte, bufferSize), limit: limit}
}

// SetLimit changes the size limit for subsequent messages.
func (r *Reader) SetLimit(limit int) { r.limit = limit }

// Reset makes the Reader read from another stream and discards buffered bytes.
func (r *Reader) Reset(src io.Reader) { r.src, r.readPos, r.writePos = src, 0, 0 }

// Buffered reports whether bytes have been received that no frame has consumed.
func (r *Reader) Buffered() bool { return r.writePos > r.readPos }

// HasFrame reports whether Next can return a frame without reading from the
// stream.
func (r *Reader) HasFrame() bool {
	if r.writePos-r.readPos < headerLen {
		return false
	}
	n := int(int32(binary.BigEndian.Uint32(r.buf[r.readPos+1:])))
	return n >= 4 && r.writePos-r.readPos >= n+1
}

// Next returns the next frame. It returns io.EOF only if the stream ends between
// two messages. After a timeout no data is lost and Next can be called again.
func (r *Reader) Next() (Frame, error) {
	if err := r.fill(headerLen); err != nil {
		if err == io.EOF && r.writePos > r.readPos {
			return nil, io.ErrUnexpectedEOF
		}
		return nil, err
	}
	n := int(int32(binary.BigEndian.Uint32(r.buf[r.readPos+1:])))
	if n < 4 {
		return nil, fmt.Errorf("%w: length %d", ErrMalformed, n)
	}
	if n > r.limit {
		return nil, fmt.Errorf("%w: %d bytes, limit %d", ErrTooLarge, n, r.limit)
	}
	if err := r.fill(n + 1); err != nil {
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		return nil, err
	}
	f := Frame(r.buf[r.readPos : r.readPos+n+1 : r.readPos+n+1])
	r.readPos += n + 1
	return f, nil
}

// Startup reads a startup packet. It returns the code and the body that follows
// it.
func (r *Reader) Startup() (code uint32, body []byte, err error) {
	if err := r.fill(4); err != nil {
		return 0, nil, err
	}
	n := int(int32(binary.BigEndian.Uint32(r.buf[r.readPos:])))
	if n < minStartupLen {
		return 0, nil, fmt.Errorf("%w: startup length %d", ErrMalformed, n)
	}
	if n > MaxStartup {
		return 0, nil, fmt.Errorf("%w: startup of %d bytes, limit %d", ErrTooLarge, n, MaxStartup)
	}
	if err := r.fill(n); err != nil {
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		return 0, nil, err
	}
	p := r.buf[r.readPos : r.readPos+n : r.readPos+n]
	r.readPos += n
	return binary.BigEndian.Uint32(p[4:]), p[8:], nil
}

// fill reads until at least n unconsumed bytes are buffered.
func (r *Reader) fill(n int) error {
	if r.writePos-r.readPos >= n {
		return nil
	}
	if r.readPos == r.writePos {
		r.readPos, r.writePos = 0, 0
		if len(r.buf) > 8*bufferSize && n <= bufferSize {
			r.buf = make([]byte, bufferSize)
		}
	}
	if len(r.buf)-r.readPos < n {
		// The message does not fit behind readPos: move it to the start of the
		// buffer, or of a larger one.
		dst := r.buf
		if len(dst) < n {
			// The buffer grows in steps, so that a length alone does not make
			// the instance allocate memory up to the limit before the data has
			// arrived.
			size := max(2*len(dst), bufferSize)
			if size > n {
				size = n
			}
			dst = make([]byte, size)
		}
		r.writePos = copy(dst, r.buf[r.readPos:r.writePos])
		r.readPos, r.buf = 0, dst
	}
	for r.writePos-r.readPos < n {
		if r.writePos == len(r.buf) {
			larger := make([]byte, min(2*len(r.buf), max(n, bufferSize)))
			r.writePos = copy(larger, r.buf[r.readPos:r.writePos])
			r.readPos, r.buf = 0, larger
		}
		m, err := r.src.Read(r.buf[r.writePos:])
		r.writePos += m
		if err != nil && r.writePos-r.readPos < n {
			return err
		}
	}
	return nil
}
