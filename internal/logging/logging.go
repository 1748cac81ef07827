package logging

import (
	"io"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"eelgrasswharf.example/eelgrasswharf/api/settingspb"
)

// ErrUnknownLevel is returned for an unknown log level.
var ErrUnknownLevel = errors.New("unknown log level")

// New creates a logger that writes to w. The default level is info. For a level other than
// debug, info, warn and error it returns ErrUnknownLevel.
func New(s *settingspb.Log, w io.Writer) (*zap.Logger, error) {
	level := zapcore.InfoLevel
	if text := s.GetLevel(); text != "" {
		parsed, err := zapcore.ParseLevel(text)
		if err != nil {
			return nil, errors.Wrapf(ErrUnknownLevel, "%q", text)
		}
		level = parsed
	}
	core := zapcore.NewCore(encoder(s.GetFormat()), zapcore.Lock(zapcore.AddSync(w)), level)
	return zap.New(noStackCore{core}), nil
}

func encoder(format settingspb.LogFormat) zapcore.Encoder {
	if format == settingspb.LogFormat_LOG_FORMAT_CONSOLE {
		return zapcore.NewConsoleEncoder(zap.NewDevelopmentEncoderConfig())
	}
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	return zapcore.NewJSONEncoder(cfg)
}
