package settings

import (
	"go.uber.org/zap"
)

// Logger returns the structured log of a process, written as JSON lines.
func (b *Box) Logger(process string) (*zap.Logger, error) {
	level, err := zap.ParseAtomicLevel(b.LogLevel)
	if err != nil {
		return nil, &Error{
			Setting: "log-level",
			Problem: "is " + b.LogLevel,
			Remedy:  "write debug, info, warn or error",
		}
	}
	c := zap.NewProductionConfig()
	c.Level = level
	c.DisableStacktrace = true
	c.DisableCaller = true
	logger, err := c.Build()
	if err != nil {
		return nil, err
	}
	return logger.With(zap.String("box", b.Name), zap.String("process", process)), nil
}
