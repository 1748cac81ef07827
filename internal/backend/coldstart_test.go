package backend

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestColdStartScalesWork(t *testing.T) {
	const work = 10 * time.Millisecond
	cold := ColdStart{Duration: 2 * time.Second, Slowdown: 5}
	for _, tt := range []struct {
		name string
		cold ColdStart
		age  time.Duration
		want time.Duration
	}{
		{"warm from the start", ColdStart{}, 0, work},
		{"at the start", cold, 0, 5 * work},
		{"half way", cold, time.Second, 3 * work},
		{"warm", cold, 2 * time.Second, work},
		{"no slowdown", ColdStart{Duration: time.Second, Slowdown: 0.5}, 0, work},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is.New(t).Equal(tt.cold.scale(work, tt.age), tt.want)
		})
	}
}
