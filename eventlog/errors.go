package eventlog

import "go.uber.org/zap/zapcore"

// plainErrors writes errors by their messages alone. Those that carry a stack would
// be written with it, a kilobyte of file names in a line that says where already.
type plainErrors struct{ zapcore.Core }

// With adds fields to all lines.
func (c plainErrors) With(fields []zapcore.Field) zapcore.Core {
	return plainErrors{c.Core.With(withoutStacks(fields))}
}

// Check lets this core write what the one within would.
func (c plainErrors) Check(e zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(e.Level) {
		return checked.AddCore(e, c)
	}
	return checked
}

// Write writes a line.
func (c plainErrors) Write(e zapcore.Entry, fields []zapcore.Field) error {
	return c.Core.Write(e, withoutStacks(fields))
}

func withoutStacks(fields []zapcore.Field) []zapcore.Field {
	for i, f := range fields {
		err, is := f.Interface.(error)
		if f.Type != zapcore.ErrorType || !is {
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
