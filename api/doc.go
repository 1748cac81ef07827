// Package api holds the schemas of settings and messages. The code in its subpackages is
// generated from their .proto files.
package api

//go:generate go run ./internal/generate
