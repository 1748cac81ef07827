// Package logging creates the zap logger configured by the section [log] of a settings file.
package logging
