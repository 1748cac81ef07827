// Package dev runs a whole deployment in one process on loopback: control hosts,
// entry hosts, and services whose targets are built-in backend servers with an agent
// each. Every address has a free port. Keys and state are kept in a temporary
// directory, which Close removes.
package dev
