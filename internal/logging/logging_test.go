package logging_test

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"eelgrasswharf.example/eelgrasswharf/api/settingspb"
	"eelgrasswharf.example/eelgrasswharf/internal/logging"
)

func TestJSONLinesAboveLevel(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	log, err := logging.New(&settingspb.Log{Level: "warn"}, &out)
	is.NoErr(err)
	log.Info("hidden")
	log.Warn("shown")
	var line struct{ Level, Msg string }
	is.NoErr(json.Unmarshal(out.Bytes(), &line)) // a single line
	is.Equal(line.Msg, "shown")
	is.Equal(line.Level, "warn")
}

func TestConsole(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	log, err := logging.New(&settingspb.Log{Format: settingspb.LogFormat_LOG_FORMAT_CONSOLE}, &out)
	is.NoErr(err)
	log.Info("shown")
	is.True(strings.Contains(out.String(), "shown"))
	is.True(!strings.HasPrefix(out.String(), "{"))
}

func TestUnknownLevel(t *testing.T) {
	is := is.New(t)
	_, err := logging.New(&settingspb.Log{Level: "loud"}, &bytes.Buffer{})
	is.True(errors.Is(err, logging.ErrUnknownLevel))
}

// Guards against stacks in ordinary errors: they are noise and contain paths of the build
// machine.
func TestStackOnlyAtErrorLevel(t *testing.T) {
	cause := errors.Wrap(errors.New("no answer"), "dial")
	for _, tt := range []struct {
		level zapcore.Level
		stack bool
	}{{zapcore.InfoLevel, false}, {zapcore.WarnLevel, false}, {zapcore.ErrorLevel, true}} {
		t.Run(tt.level.String(), func(t *testing.T) {
			is := is.New(t)
			var out bytes.Buffer
			log, err := logging.New(nil, &out)
			is.NoErr(err)
			log.With(zap.Int("group", 1)).Log(tt.level, "link lost", zap.Error(cause), zap.Error(nil))
			var line map[string]any
			is.NoErr(json.Unmarshal(out.Bytes(), &line))
			is.Equal(line["error"], "dial: no answer")
			is.Equal(line["group"], 1.0)
			_, stack := line["errorVerbose"]
			is.Equal(stack, tt.stack)
		})
	}
}
