package grant_test

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"eelgrasswharf.example/eelgrasswharf/api/grantpb"
	"eelgrasswharf.example/eelgrasswharf/grant"
	"eelgrasswharf.example/eelgrasswharf/internal/unittest"
)

func acquire(key, attempt, digest string) *grantpb.Command {
	return &grantpb.Command{Body: &grantpb.Command_Acquire{Acquire: &grantpb.Acquire{
		Service: 1, Key: key, Attempt: []byte(attempt), Digest: []byte(digest),
	}}}
}

func complete(key, attempt string, answer *grantpb.Answer) *grantpb.Command {
	return &grantpb.Command{Body: &grantpb.Command_Complete{Complete: &grantpb.Complete{
		Service: 1, Key: key, Attempt: []byte(attempt), Answer: answer,
	}}}
}

func release(key, attempt string) *grantpb.Command {
	return &grantpb.Command{Body: &grantpb.Command_Release{Release: &grantpb.Release{
		Service: 1, Key: key, Attempt: []byte(attempt),
	}}}
}

func advance(ms uint64) *grantpb.Command {
	return &grantpb.Command{Body: &grantpb.Command_Advance{Advance: &grantpb.Advance{ElapsedMs: ms}}}
}

var must = unittest.Must

func apply(t unittest.Failer, m *grant.Machine, c *grantpb.Command) *grantpb.Result {
	t.Helper()
	data, err := proto.Marshal(c)
	must(t, err)
	var result grantpb.Result
	must(t, proto.Unmarshal(m.Apply(1, data), &result))
	return &result
}

func advanceBy(t unittest.Failer, m *grant.Machine, ms uint64) {
	t.Helper()
	step := uint64(grant.MaxAdvance.Milliseconds())
	for ; ms > step; ms -= step {
		apply(t, m, advance(step))
	}
	apply(t, m, advance(ms))
}

func TestOneAttemptHoldsTheGrant(t *testing.T) {
	is := is.New(t)
	m := grant.New()
	is.Equal(apply(t, m, acquire("k", "one", "d")).GetDecision(), grantpb.Decision_DECISION_GRANTED)
	is.Equal(apply(t, m, acquire("k", "one", "d")).GetDecision(), grantpb.Decision_DECISION_GRANTED) // resend
	is.Equal(apply(t, m, acquire("k", "two", "d")).GetDecision(), grantpb.Decision_DECISION_HELD)
	is.Equal(apply(t, m, acquire("k", "two", "e")).GetDecision(), grantpb.Decision_DECISION_MISMATCH)

	is.Equal(apply(t, m, complete("k", "two", &grantpb.Answer{Status: 200})).GetTaken(), false)
	answer := &grantpb.Answer{Status: 200, ContentType: "text/plain", Body: []byte("done")}
	is.True(apply(t, m, complete("k", "one", answer)).GetTaken())
	is.True(apply(t, m, complete("k", "one", answer)).GetTaken()) // resend
	is.Equal(apply(t, m, complete("k", "one", &grantpb.Answer{Status: 500})).GetTaken(), false)
	got := apply(t, m, acquire("k", "three", "d"))
	is.Equal(got.GetDecision(), grantpb.Decision_DECISION_ANSWERED)
	is.True(proto.Equal(got.GetAnswer(), answer))
	is.Equal(apply(t, m, release("k", "one")).GetTaken(), false) // an answered request cannot be released
}

func TestReleasedKeyCanBeAcquired(t *testing.T) {
	is := is.New(t)
	m := grant.New()
	apply(t, m, acquire("k", "one", "d"))
	is.Equal(apply(t, m, release("k", "other")).GetTaken(), false)
	is.Equal(apply(t, m, acquire("k", "other", "d")).GetDecision(), grantpb.Decision_DECISION_RELEASED)
	is.True(apply(t, m, release("k", "one")).GetTaken())
	is.Equal(apply(t, m, acquire("k", "two", "d")).GetDecision(), grantpb.Decision_DECISION_GRANTED)
	is.Equal(apply(t, m, release("k", "one")).GetTaken(), false) // late resend
	is.Equal(apply(t, m, complete("k", "one", &grantpb.Answer{Status: 200})).GetTaken(), false)
	is.Equal(apply(t, m, acquire("k", "three", "d")).GetDecision(), grantpb.Decision_DECISION_HELD)
}

func TestLongBodyIsOmitted(t *testing.T) {
	is := is.New(t)
	m := grant.New()
	apply(t, m, acquire("fits", "one", "d"))
	apply(t, m, complete("fits", "one", &grantpb.Answer{Status: 200, Body: bytes.Repeat([]byte("x"), grant.MaxBodyLength)}))
	is.Equal(len(apply(t, m, acquire("fits", "two", "d")).GetAnswer().GetBody()), grant.MaxBodyLength)

	apply(t, m, acquire("long", "one", "d"))
	long := &grantpb.Answer{Status: 201, Body: bytes.Repeat([]byte("x"), grant.MaxBodyLength+1)}
	is.True(apply(t, m, complete("long", "one", long)).GetTaken())
	is.True(apply(t, m, complete("long", "one", long)).GetTaken())
	got := apply(t, m, acquire("long", "two", "d")).GetAnswer()
	is.Equal(got.GetStatus(), uint32(201))
	is.True(got.GetBodyOmitted())
	is.Equal(len(got.GetBody()), 0)
}

func TestRetentionUsesLogicalClock(t *testing.T) {
	is := is.New(t)
	m := grant.New()
	apply(t, m, acquire("held", "one", "d"))
	apply(t, m, acquire("answered", "one", "d"))
	apply(t, m, complete("answered", "one", &grantpb.Answer{Status: 200}))

	advanceBy(t, m, uint64(grant.AnsweredRetention.Milliseconds())-1)
	is.Equal(apply(t, m, acquire("answered", "two", "d")).GetDecision(), grantpb.Decision_DECISION_ANSWERED)
	apply(t, m, advance(1))
	is.Equal(apply(t, m, acquire("answered", "two", "d")).GetDecision(), grantpb.Decision_DECISION_GRANTED)
	is.Equal(apply(t, m, acquire("held", "two", "d")).GetDecision(), grantpb.Decision_DECISION_HELD)
	advanceBy(t, m, uint64((grant.HeldRetention - grant.AnsweredRetention).Milliseconds()))
	held, answered := m.Len()
	is.Equal(held, 1) // the second "answered"
	is.Equal(answered, 0)
}

func TestAdvanceIsBounded(t *testing.T) {
	is := is.New(t)
	m := grant.New()
	apply(t, m, advance(1<<62))
	is.Equal(m.Now(), uint64(grant.MaxAdvance.Milliseconds()))
}

func TestRecordsAreBounded(t *testing.T) {
	is := is.New(t)
	m := grant.New()
	for i := range grant.MaxRecords {
		apply(t, m, acquire(fmt.Sprint(i), "one", "d"))
	}
	is.Equal(apply(t, m, acquire("more", "one", "d")).GetDecision(), grantpb.Decision_DECISION_FULL)
	is.Equal(apply(t, m, acquire("7", "two", "d")).GetDecision(), grantpb.Decision_DECISION_HELD) // nothing is evicted
	is.True(apply(t, m, release("7", "one")).GetTaken())
	is.Equal(apply(t, m, acquire("more", "one", "d")).GetDecision(), grantpb.Decision_DECISION_GRANTED)
}

func TestAnswersAreRecordedWhenFull(t *testing.T) {
	is := is.New(t)
	m := grant.New()
	body := bytes.Repeat([]byte("x"), grant.MaxBodyLength)
	i := 0
	for ; apply(t, m, acquire(fmt.Sprint(i), "one", "d")).GetDecision() == grantpb.Decision_DECISION_GRANTED; i++ {
		is.True(apply(t, m, complete(fmt.Sprint(i), "one", &grantpb.Answer{Status: 200, Body: body})).GetTaken())
	}
	is.True(i < grant.MaxRecords)
	// The last responses were recorded without their body.
	is.True(apply(t, m, acquire(fmt.Sprint(i-1), "two", "d")).GetAnswer().GetBodyOmitted())
}

func TestInvalidCommands(t *testing.T) {
	is := is.New(t)
	m := grant.New()
	is.Equal(apply(t, m, acquire("", "one", "d")).GetDecision(), grantpb.Decision_DECISION_UNSPECIFIED)
	is.Equal(apply(t, m, acquire("k", "", "d")).GetDecision(), grantpb.Decision_DECISION_UNSPECIFIED)
	is.Equal(apply(t, m, acquire("k", "one", "")).GetDecision(), grantpb.Decision_DECISION_UNSPECIFIED)
	long := string(bytes.Repeat([]byte("k"), grant.MaxKeyLength+1))
	is.Equal(apply(t, m, acquire(long, "one", "d")).GetDecision(), grantpb.Decision_DECISION_UNSPECIFIED)
	is.Equal(apply(t, m, complete("k", "one", nil)).GetTaken(), false)
	is.Equal(len(m.Apply(1, []byte{0xff})), 0)
	is.True(m.Restore([]byte{0xff}) != nil)
	held, answered := m.Len()
	is.Equal(held+answered, 0)
}
