package agentd

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestRequestEndToEnd(t *testing.T) {
	is := is.New(t)
	tc, _, backend := startSingleAgent(t)
	got := tc.mustSend(t, "POST", "/echo?text=there", "hello ", headerTimeout, "5000", headerID, "mine")
	is.Equal(got.status, 200)
	is.Equal(got.body, "hello there")
	is.Equal(got.header.Get(headerOutcome), "answered") // the backend server's own header is dropped
	is.Equal(got.header.Get(headerTarget), "t1/1/1")
	is.Equal(got.header.Get(headerID), "mine")
	is.Equal(got.header.Get("Content-Type"), "text/x-echo")
	backendHeaders := backend.lastHeader()
	is.True(backendHeaders.Get(headerTimeout) != "")
	is.True(backendHeaders.Get(headerTimeout) != "5000") // the remaining time
	is.True(backendHeaders.Get(headerID) != "mine")      // unique to the attempt
	is.Equal(backendHeaders.Get("X-Forwarded-For"), "127.0.0.1")
}

func TestLargeResponseIsComplete(t *testing.T) {
	is := is.New(t)
	tc, _, _ := startSingleAgent(t)
	got := tc.mustSend(t, "GET", "/large?size=3000000", "")
	is.Equal(len(got.body), 3000000)
	is.Equal(strings.Count(got.body, "x"), 3000000)
}
