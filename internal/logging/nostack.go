package logging

import (
	"slices"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// noStackCore omits the stacks of errors below the level error.
type noStackCore struct {
	zapcore.Core
}

func (c noStackCore) With(fields []zapcore.Field) zapcore.Core {
	return noStackCore{c.Core.With(fields)}
}

// Check adds this core, since the wrapped one would bypass Write.
func (c noStackCore) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(entry.Level) {
		return checked.AddCore(entry, c)
	}
	return checked
}

func (c noStackCore) Write(entry zapcore.Entry, fields []zapcore.Field) error {
	if entry.Level < zapcore.ErrorLevel {
		fields = withoutStacks(fields)
	}
	return c.Core.Write(entry, fields)
}

func withoutStacks(fields []zapcore.Field) []zapcore.Field {
	out := slices.Clone(fields)
	for i, f := range out {
		if err, ok := f.Interface.(error); ok && f.Type == zapcore.ErrorType {
			out[i] = zap.String(f.Key, err.Error())
		}
	}
	return out
}
