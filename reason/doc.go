// Package reason lists the reasons for which requests, frames and flows are refused,
// retried or redirected. Each reason is a counter tag. Those returned to callers are
// also values of the Request-Reason header. The operators' page is generated from
// Table.
package reason

//go:generate go run ./internal/page ../docs/REASONS.md
