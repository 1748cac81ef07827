package link

import (
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/quic-go/quic-go"
)

// maxNamedServers bounds the servers that a refusal names: the message of a refusal has to
// fit a packet.
const maxNamedServers = 16

// Fields of the message of a refusal.
const (
	fieldRetryAfter = "retry-after-ms"
	fieldQueued     = "queued"
	fieldServers    = "servers"
)

// busyRefusal is what a server that refuses a connection tells the client.
type busyRefusal struct {
	// retryAfter is the time until the server may admit the client.
	retryAfter time.Duration
	// queued: the server keeps a place for the client, which is not to ask others meanwhile.
	queued bool
	// servers are the addresses (ip:port) of other servers, which the client is to try at
	// once.
	servers []string
}

// message encodes a refusal. Clients of earlier releases read one that has a retry-after
// time only.
func (r busyRefusal) message() string {
	text := fieldRetryAfter + "=" + strconv.FormatInt(r.retryAfter.Milliseconds(), 10)
	if r.queued {
		text += "&" + fieldQueued + "=1"
	}
	if len(r.servers) > 0 {
		text += "&" + fieldServers + "=" + strings.Join(r.servers[:min(len(r.servers), maxNamedServers)], ",")
	}
	return text
}

// refusalOf returns the refusal that ended a connection, and false if another error did.
func refusalOf(err error) (busyRefusal, bool) {
	var app *quic.ApplicationError
	if !errors.As(err, &app) || !app.Remote || app.ErrorCode != codeBusy {
		return busyRefusal{}, false
	}
	fields, err := url.ParseQuery(app.ErrorMessage)
	if err != nil {
		return busyRefusal{}, false
	}
	ms, err := strconv.ParseUint(fields.Get(fieldRetryAfter), 10, 31)
	if err != nil {
		return busyRefusal{}, false
	}
	return busyRefusal{
		retryAfter: time.Duration(ms) * time.Millisecond,
		queued:     fields.Get(fieldQueued) != "",
		servers:    validAddresses(fields.Get(fieldServers)),
	}, true
}

// validAddresses returns the addresses of a list, without those that can't be decoded.
func validAddresses(list string) []string {
	var out []string
	for address := range strings.SplitSeq(list, ",") {
		if _, err := netip.ParseAddrPort(address); err == nil && len(out) < maxNamedServers {
			out = append(out, address)
		}
	}
	return out
}
