package logging

import (
	"io"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"eelgrasswharf.example/eelgrasswharf/api/settingspb"
)

// ErrUnknownLevel reports a level that zap does not know.
var ErrUnknownLevel = errors.New("unknown log level")

// New makes a logger that writes to w. An empty level is info. It returns
// ErrLevel for a level that is none of debug, info, warn and error.
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
	return zap.New(plainErrors{core}), nil
}

func encoder(format settingspb.LogFormat) zapcore.Encoder {
	if format == settingspb.LogFormat_LOG_FORMAT_CONSOLE {
		return zapcore.NewConsoleEncoder(zap.NewDevelopmentEncoderConfig())
	}
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	return zapcore.NewJSONEncoder(cfg)
}
