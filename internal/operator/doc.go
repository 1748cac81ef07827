// Package operator implements the HTTPS API of a control host and its client: patches,
// configurations, status and membership, as JSON over mutual TLS with the role
// operator.
//
// Every call has a timeout. A call has a result, or it was not applied (ErrNotApplied,
// with a reason), or its outcome is unknown (ErrOutcomeUnknown). A patch with an
// unknown outcome may be submitted again with the same identifier, as it never applies
// twice.
package operator
