// Package dev runs a whole deployment in one process on loopback: a control
// host, entry hosts, and services whose targets are built-in backend servers
// with an agent each. Every address is a free port. Keys and state live in a
// temporary folder that goes with the deployment.
package dev
