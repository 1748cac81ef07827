// Package keys makes and loads the secrets of a deployment: its certificate
// authority, the certificates by which its processes know each other, the
// certificates shown to callers, and the data secrets that protect connection
// IDs and frames.
//
// A process identity is a URI in the certificate, "eelgrasswharf:ROLE/NAME";
// an agent's also names its service. Addresses play no part in it, so a host
// may change its address without a new certificate.
//
// Credentials holds the loaded files of one process. Its TLS configurations
// look up the current certificate and authorities at each handshake, so files
// are replaced while established connections stay open.
package keys
