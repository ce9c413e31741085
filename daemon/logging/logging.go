// Package logging writes structured log lines with a fixed prefix per component.
package logging

import (
	"io"

	"github.com/phuslu/log"
)

// New returns a logger that writes JSON lines of the given level and above to w.
func New(w io.Writer, level string) *log.Logger {
	return &log.Logger{Level: log.ParseLevel(level), Writer: &log.IOWriter{Writer: w}}
}

// Logger writes the log lines of one component of the instance.
type Logger struct {
	logger *log.Logger
	prefix string
}

// ForComponent returns the logger of a component, such as "control". If l is nil,
// all lines are discarded.
func ForComponent(l *log.Logger, name string) Logger {
	if l == nil {
		l = &log.Logger{Level: log.PanicLevel + 1, Writer: &log.IOWriter{Writer: io.Discard}}
	}
	return Logger{logger: l, prefix: name + ": "}
}

// Info logs a message and key-value pairs at the level info.
func (l Logger) Info(msg string, kv ...any) { l.logger.Info().KeysAndValues(kv...).Msg(l.prefix + msg) }

// Warn logs a condition that an operator may have to look into.
func (l Logger) Warn(msg string, kv ...any) { l.logger.Warn().KeysAndValues(kv...).Msg(l.prefix + msg) }

// Error logs a condition that needs an operator.
func (l Logger) Error(msg string, kv ...any) {
	l.logger.Error().KeysAndValues(kv...).Msg(l.prefix + msg)
}

// Debug logs details for troubleshooting.
func (l Logger) Debug(msg string, kv ...any) {
	l.logger.Debug().KeysAndValues(kv...).Msg(l.prefix + msg)
}
