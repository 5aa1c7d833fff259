package events

import (
	"io"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
)

// Field is one key and value of a log line.
type Field struct {
	Key   string
	Value any
}

// F returns the field with the given key and value.
func F(key string, value any) Field {
	return Field{Key: key, Value: value}
}

// Age returns the field for the time from at to now, in milliseconds. The field is -1 if at is zero, that is, if the event
// never happened.
func Age(key string, now, at time.Time) Field {
	if at.IsZero() {
		return Field{Key: key, Value: -1}
	}
	return Field{Key: key, Value: now.Sub(at).Milliseconds()}
}

// Err returns the field for an error. It is empty for nil.
func Err(err error) Field {
	if err == nil {
		return Field{Key: "error", Value: ""}
	}
	return Field{Key: "error", Value: err.Error()}
}

// Logger writes events as log lines. It is safe for concurrent use.
type Logger struct {
	logger *logrus.Logger
}

// Formats of log lines.
const (
	FormatJSON = "json"
	FormatText = "text"
)

// timestampFormat includes milliseconds, so that the lines of several processes can be sorted by time.
const timestampFormat = "2006-01-02T15:04:05.000Z07:00"

// NewLogger returns a logger that writes lines of at least the given level to out. The format is FormatJSON or
// FormatText.
func NewLogger(out io.Writer, format, level string) (*Logger, error) {
	l := logrus.New()
	l.SetOutput(out)
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, eris.Wrap(err, "log level")
	}
	l.SetLevel(parsed)
	switch format {
	case FormatJSON:
		// HTML escapes would change the > in flows (caller>address), which operators search for as it is.
		l.SetFormatter(&logrus.JSONFormatter{DisableHTMLEscape: true, TimestampFormat: timestampFormat})
	case FormatText:
		l.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true})
	default:
		return nil, eris.Errorf("log format %q, expected json or text", format)
	}
	return &Logger{logger: l}, nil
}

// NewDiscardLogger returns a logger that writes nothing.
func NewDiscardLogger() *Logger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	l.SetLevel(logrus.PanicLevel)
	return &Logger{logger: l}
}

// IsEnabled reports whether the logger writes events of this level.
func (l *Logger) IsEnabled(event Event) bool {
	return l.logger.IsLevelEnabled(event.Level)
}

// Emit writes a log line for the event.
func (l *Logger) Emit(event Event, fields ...Field) {
	if !l.IsEnabled(event) {
		return
	}
	values := make(logrus.Fields, len(fields)+1)
	values["event"] = event.Number
	for _, f := range fields {
		values[f.Key] = f.Value
	}
	l.logger.WithFields(values).Log(event.Level, event.Name)
}
