package logging

import (
	"slices"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// plainErrors writes errors without their stacks below the level error, where
// they are ordinary: a stack tells of the code, not of the deployment.
type plainErrors struct {
	zapcore.Core
}

func (c plainErrors) With(fields []zapcore.Field) zapcore.Core {
	return plainErrors{c.Core.With(fields)}
}

// Check adds this core itself: that of the core within would be written past it.
func (c plainErrors) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(entry.Level) {
		return checked.AddCore(entry, c)
	}
	return checked
}

func (c plainErrors) Write(entry zapcore.Entry, fields []zapcore.Field) error {
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
