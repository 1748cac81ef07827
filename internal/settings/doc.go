// Package settings reads INI files into the messages of the settings schema.
//
// A section is a message field of the role's root message and a key is a
// field of that section, so that the schema is the only list of keys. What
// the schema cannot say (defaults, required keys, forms of values) stands in
// the table of rules.go. All faults of a file are collected as findings with
// file and line and reported together.
//
// The same reader turns patch files into configpb.Patch. The operators' page of
// all keys is made by Markdown.
package settings

//go:generate go run ./internal/page ../../docs/SETTINGS.md
