package eventlog

import "go.uber.org/zap/zapcore"

// stacklessCore writes errors without their stack traces, which zap would add in a
// second field.
type stacklessCore struct{ zapcore.Core }

// With returns a core with additional fields.
func (c stacklessCore) With(fields []zapcore.Field) zapcore.Core {
	return stacklessCore{c.Core.With(withoutStacks(fields))}
}

// Check adds this core, rather than the wrapped one, to the cores that write the entry.
func (c stacklessCore) Check(e zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(e.Level) {
		return checked.AddCore(e, c)
	}
	return checked
}

// Write writes an entry without stack traces.
func (c stacklessCore) Write(e zapcore.Entry, fields []zapcore.Field) error {
	return c.Core.Write(e, withoutStacks(fields))
}

func withoutStacks(fields []zapcore.Field) []zapcore.Field {
	for i, f := range fields {
		err, isError := f.Interface.(error)
		if f.Type != zapcore.ErrorType || !isError {
			continue
		}
		fields[i] = zapcore.Field{
			Key:    f.Key,
			Type:   zapcore.StringType,
			String: err.Error(),
		}
	}
	return fields
}
