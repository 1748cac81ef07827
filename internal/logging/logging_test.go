package logging_test

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

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
	is.NoErr(json.Unmarshal(out.Bytes(), &line)) // exactly one line
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
	is.True(errors.Is(err, logging.ErrLevel))
}
