// Package operator is the HTTPS API of a control host and its client: patches,
// configurations, status and membership, as JSON under mutual TLS for the role
// operator.
//
// Every call ends within a named timeout. An answer belongs to one of three
// kinds: the thing was done or refused (the answer says which), it was not
// done (ErrNotDone, with a reason), or it is not known (ErrUnknown). A patch
// whose outcome is not known may be sent again under the same identifier: it
// never applies twice.
package operator
