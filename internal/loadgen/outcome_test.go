package loadgen

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestAttemptHistory checks, for the attempts of one request, the final class and whether
// a non-repeatable request may be retried.
func TestAttemptHistory(t *testing.T) {
	retryRequested := outcome{class: ClassUnknown, reason: "agent-stalled", target: "t/1/1", retryAfter: time.Second}
	retryNotRequested := unknown("agent-stalled")
	for name, tt := range map[string]struct {
		attempts []outcome
		class    Class
		mayRetry bool
	}{
		"nothing sent":                       {[]outcome{notRun(reasonDial)}, ClassNotRun, false},
		"lost":                               {[]outcome{unknown(reasonLost)}, ClassUnknown, false},
		"retry requested":                    {[]outcome{retryRequested}, ClassUnknown, true},
		"retry requested, then nothing sent": {[]outcome{retryRequested, notRun(reasonDial)}, ClassUnknown, true},
		"retry requested, then twice nothing sent": {[]outcome{retryRequested, notRun(reasonDial), notRun(reasonGoAway)}, ClassUnknown, true},
		"lost, then nothing sent":                  {[]outcome{unknown(reasonLost), notRun(reasonDial)}, ClassUnknown, false},
		"retry requested, then not":                {[]outcome{retryRequested, retryNotRequested, notRun(reasonDial)}, ClassUnknown, false},
		"unknown, then not run":                    {[]outcome{retryRequested, {class: ClassNotRun, target: "t/1/1"}}, ClassNotRun, false},
		"unknown, then answered":                   {[]outcome{retryRequested, {class: ClassAnswered}}, ClassAnswered, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var history attemptHistory
			var last outcome
			for _, o := range tt.attempts {
				last = history.add(o)
			}
			is.Equal(last.class, tt.class)
			is.Equal(last.class == ClassUnknown && last.retryAfter > 0, tt.mayRetry)
		})
	}
}
