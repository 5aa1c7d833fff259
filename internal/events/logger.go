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

// F returns a field.
func F(key string, value any) Field {
	return Field{Key: key, Value: value}
}

// Age returns the field for the milliseconds since a moment. A zero moment, of something that never was, has the age -1.
func Age(key string, now, at time.Time) Field {
	if at.IsZero() {
		return Field{Key: key, Value: -1}
	}
	return Field{Key: key, Value: now.Sub(at).Milliseconds()}
}

// Err returns the field for an error, or one with an empty value for nil.
func Err(err error) Field {
	if err == nil {
		return Field{Key: "error", Value: ""}
	}
	return Field{Key: "error", Value: err.Error()}
}

// Logger writes events as logrus lines. It is safe for concurrent use.
type Logger struct {
	entry *logrus.Logger
}

// Formats of log lines.
const (
	FormatJSON = "json"
	FormatText = "text"
)

// timestampFormat has milliseconds, so that the lines of several processes can be put in order.
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
		// Flows are written as caller>address; operators search for them as they are.
		l.SetFormatter(&logrus.JSONFormatter{DisableHTMLEscape: true, TimestampFormat: timestampFormat})
	case FormatText:
		l.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true})
	default:
		return nil, eris.Errorf("log format %q, expected json or text", format)
	}
	return &Logger{entry: l}, nil
}

// NewDiscardLogger returns a logger that writes nothing.
func NewDiscardLogger() *Logger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	l.SetLevel(logrus.PanicLevel)
	return &Logger{entry: l}
}

// IsEnabled reports whether a line for the event would be written.
func (l *Logger) IsEnabled(event Event) bool {
	return l.entry.IsLevelEnabled(event.Level)
}

// Emit writes one line for the event.
func (l *Logger) Emit(event Event, fields ...Field) {
	if !l.IsEnabled(event) {
		return
	}
	values := make(logrus.Fields, len(fields)+1)
	values["event"] = event.Number
	for _, f := range fields {
		values[f.Key] = f.Value
	}
	l.entry.WithFields(values).Log(event.Level, event.Name)
}
