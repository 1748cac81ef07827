// Package logging makes the zap logger that the section [log] of a settings
// file describes.
package logging
