// Package reason holds the one table of reasons for which the system refuses,
// hands on or retries. Each reason is the tag of its own counter; those told
// to callers also stand in the Request-Reason header. Pages for operators are
// generated from Table.
package reason

//go:generate go run ./internal/page ../docs/REASONS.md
