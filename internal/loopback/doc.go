// Package loopback allocates loopback addresses to tests that have to know an address before
// it is opened.
//
// A port that the kernel chose may be taken by another socket once it is closed. Therefore
// each test process gets its own IP numbers, with ports below the kernel's ephemeral range.
package loopback
