package agentd

import (
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"eelgrasswharf.example/eelgrasswharf/api/settingspb"
)

func connect(s *settingspb.AgentSettings, log *zap.Logger, scope tally.Scope) (parts, error) {
	return parts{}, ErrSettings
}
