package servicetime

import (
	"math"
	"time"
)

// Pace is a service time in seven bits, 0 if it is unknown: eight steps for each doubling,
// which is finer than estimates are exact, from half a millisecond to half a minute.
type Pace uint8

const (
	// MaxPace is the highest pace.
	MaxPace Pace = 127
	// stepsPerDoubling and shortestTime are the scale of a Pace.
	stepsPerDoubling = 8
	shortestTime     = 500 * time.Microsecond
	// minTargets is the number of targets with a known pace below which no service time is
	// usual: of two, either may be the slow one.
	minTargets = 3
)

// PaceOf returns the pace of a service time.
func PaceOf(d time.Duration) Pace {
	if d <= shortestTime {
		return 1
	}
	return min(Pace(1+math.Round(stepsPerDoubling*math.Log2(float64(d)/float64(shortestTime)))), MaxPace)
}

// Time returns the service time of a pace, 0 if it is unknown.
func (p Pace) Time() time.Duration {
	if p == 0 {
		return 0
	}
	return scaleTime(float64(p))
}

func scaleTime(p float64) time.Duration {
	return time.Duration(float64(shortestTime) * math.Exp2((p-1)/stepsPerDoubling))
}

// Usual returns the service time that most targets have: the mean pace without the fastest
// and the slowest quarter. It returns false if too few targets have a known pace.
func Usual(paces []Pace) (time.Duration, bool) {
	var counts [MaxPace + 1]int
	known := 0
	for _, p := range paces {
		if p != 0 && p <= MaxPace {
			counts[p]++
			known++
		}
	}
	if known < minTargets {
		return 0, false
	}
	skip := known / 4
	left := known - 2*skip
	sum, n := 0.0, left
	for p, count := range counts {
		dropped := min(count, skip)
		skip -= dropped
		taken := min(count-dropped, left)
		left -= taken
		sum += float64(p * taken)
	}
	return scaleTime(sum / float64(n)), true
}
