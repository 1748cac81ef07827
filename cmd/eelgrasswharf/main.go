// Command eelgrasswharf is the layer-4 load balancer: every role and every
// operator tool in one binary.
package main

import (
	"context"
	"os"

	"eelgrasswharf.example/eelgrasswharf/internal/cli"
	"eelgrasswharf.example/eelgrasswharf/platform"
	"eelgrasswharf.example/eelgrasswharf/platform/standin"
	"eelgrasswharf.example/eelgrasswharf/soak"
)

func main() {
	os.Exit(cli.Main(context.Background(), os.Args[1:], os.Stdout, os.Stderr, platform.Command(standin.Command(), soak.Command())))
}
