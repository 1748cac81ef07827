package health_test

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"eelgrasswharf.example/eelgrasswharf/health"
)

const guess = 0.002

func near(a, b float64) bool { return math.Abs(a-b) < 0.05*b }

func TestMeterBeginsWithTheGuess(t *testing.T) {
	is := is.New(t)
	var m health.Meter
	is.Equal(m.Requests(0, guess), 0.0)
	is.Equal(m.Requests(10, guess), 10*guess)
}

func TestMeterLearnsWhatAFlowBrings(t *testing.T) {
	is := is.New(t)
	var m health.Meter
	for range 100 {
		m.Observe(2, 100, health.MeterTime/10)
	}
	is.True(near(m.Requests(100, guess), 2))
	is.True(near(m.Requests(150, guess), 3)) // new flows count at once
}

func TestMeterForgets(t *testing.T) {
	is := is.New(t)
	var m health.Meter
	for _, requests := range []float64{4, 1} {
		for range 100 {
			m.Observe(requests, 100, health.MeterTime/10)
		}
	}
	is.True(near(m.Requests(100, guess), 1))
}

func TestMeterKeepsWhatItKnowsWithoutFlows(t *testing.T) {
	is := is.New(t)
	var m health.Meter
	m.Observe(2, 100, health.MeterTime)
	before := m.Requests(1, guess)
	m.Observe(0, 0, time.Millisecond)
	is.True(near(m.Requests(1, guess), before))
}
