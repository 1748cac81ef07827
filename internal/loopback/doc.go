// Package loopback allots addresses on loopback to tests that have to know an
// address before the process that opens it runs.
//
// A port that the kernel picked and that was closed again may be taken by any
// socket before it is opened a second time. Here each test process has IP
// numbers of its own, and ports lie below the range from which the kernel
// picks, so that nobody else takes them.
package loopback
