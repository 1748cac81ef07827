// Package settings reads INI files into the messages of the settings schema.
//
// A section is a message field of the role's root message and a key is a field of that
// section, so the schema defines the keys. The table in rules.go adds what the schema cannot
// express: defaults, required keys and value formats. All findings of a file are collected
// with file and line and reported together.
//
// The package also parses patch files into configpb.Patch and generates the operators' page
// of all keys.
package settings

//go:generate go run ./internal/page ../../docs/SETTINGS.md
