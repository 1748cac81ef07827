// Package repotest holds tests of the whole repository: rules for imports, and the
// documentation against the code.
package repotest
