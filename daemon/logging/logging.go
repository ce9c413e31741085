// Package logging writes structured log lines with a fixed prefix per part.
package logging

import (
	"io"

	"github.com/phuslu/log"
)

// New returns a logger that writes JSON lines to w.
func New(w io.Writer, level string) *log.Logger {
	return &log.Logger{Level: log.ParseLevel(level), Writer: &log.IOWriter{Writer: w}}
}

// Logger logs the lines of one part of the instance.
type Logger struct {
	l      *log.Logger
	prefix string
}

// ForComponent returns the log of a part, such as "control". A nil logger discards.
func ForComponent(l *log.Logger, name string) Logger {
	if l == nil {
		l = &log.Logger{Level: log.PanicLevel + 1, Writer: &log.IOWriter{Writer: io.Discard}}
	}
	return Logger{l: l, prefix: name + ": "}
}

// Info logs a short sentence with key-value pairs.
func (p Logger) Info(msg string, kv ...any) { p.l.Info().KeysAndValues(kv...).Msg(p.prefix + msg) }

// Warn logs what an operator may have to look at.
func (p Logger) Warn(msg string, kv ...any) { p.l.Warn().KeysAndValues(kv...).Msg(p.prefix + msg) }

// Error logs what needs an operator.
func (p Logger) Error(msg string, kv ...any) { p.l.Error().KeysAndValues(kv...).Msg(p.prefix + msg) }

// Debug logs details.
func (p Logger) Debug(msg string, kv ...any) { p.l.Debug().KeysAndValues(kv...).Msg(p.prefix + msg) }
