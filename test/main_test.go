package test

import (
	"testing"

	"eelgrasswharf.example/eelgrasswharf/internal/processtest"
)

func TestMain(m *testing.M) { processtest.Main(m) }
