// Package repotest holds the tests that look at the repository as a whole:
// which package may import which, and whether the pages name what the code has.
package repotest
