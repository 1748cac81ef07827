// Package waitqueue decides which of the openings and requests that wait beside a busy target
// goes to the target next, and which is refused.
//
// An item is live while it can still meet its response time objective, and late afterwards.
// Live items go by priority, with a least share for the less urgent ones; within a priority
// the group, then the route, then the caller with the least recent work goes first, then the
// earliest objective. Late items go only to slots that are otherwise idle.
//
// An item that cannot be served in its time is refused when it arrives: the work that goes
// before it is compared with the pace of the slots. It is also refused later, when more urgent
// work takes its place. Items that may not be refused go before equal ones, and are served at once when
// they cannot meet their objective by waiting.
//
// Groups, routes and callers are counted in a bounded number of buckets. Callers that share a
// bucket share its part, and one that uses many addresses gets the part of each. The group is
// a statement of the entry host, not of the caller.
//
// A Queue has no clock, locks or goroutines. Time is passed in as the duration since an
// arbitrary origin on a monotonic clock. It is not safe for concurrent use.
package waitqueue
