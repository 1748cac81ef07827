// Package keys creates and loads the keys of a deployment: its certificate authority, the
// certificates of its processes, the certificates presented to callers, and the data secrets
// that protect connection IDs and frames.
//
// A process identity is a URI in the certificate, "eelgrasswharf:ROLE/NAME"; an agent's also
// names its service. It contains no address, so a host can change its address without a new
// certificate.
//
// Credentials holds the keys of one process. Its TLS configurations look up the current
// certificate and authorities at each handshake, so keys can be replaced while established
// connections stay open.
package keys
