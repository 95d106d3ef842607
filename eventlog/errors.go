package eventlog

import "go.uber.org/zap/zapcore"

// stacklessCore writes errors by their messages alone. Those that carry a stack would
// be written with it, a kilobyte of file names in a line that says where already.
type stacklessCore struct{ zapcore.Core }

// With adds fields to all lines.
func (c stacklessCore) With(fields []zapcore.Field) zapcore.Core {
	return stacklessCore{c.Core.With(withoutStacks(fields))}
}

// Check lets this core write what the one within would.
func (c stacklessCore) Check(e zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(e.Level) {
		return checked.AddCore(e, c)
	}
	return checked
}

// Write writes a line.
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
