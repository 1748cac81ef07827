package reason

// Kind groups reasons by what was refused or retried.
type Kind uint8

// Kinds of reasons.
const (
	// KindNotRun is returned to a caller whose request certainly did not run.
	KindNotRun Kind = iota + 1
	// KindUnknown is returned to a caller whose request may have run.
	KindUnknown
	// KindRetry explains whether an attempt at the backend server was retried.
	KindRetry
	// KindFrame explains why the agent refused a frame.
	KindFrame
	// KindFlow explains why the agent redirected or refused a new flow.
	KindFlow
)

// String returns the name of the kind.
func (k Kind) String() string {
	switch k {
	case KindNotRun:
		return "not-run"
	case KindUnknown:
		return "unknown"
	case KindRetry:
		return "retry"
	case KindFrame:
		return "frame"
	case KindFlow:
		return "flow"
	default:
		return "unspecified"
	}
}

// Code identifies one reason.
type Code uint8

// Reasons. The table below has their names and texts.
const (
	None Code = iota

	SlotsFull
	QueueFull
	WaitTooLong
	DeadlineTooClose
	DeadlineInQueue
	CallerGone
	BackendAbsent
	BackendUnreachable
	BackendRefused
	RequestTooLarge
	RequestInvalid
	BodiesFull
	WatchesFull
	KeyMismatch
	KeyInvalid
	KeysFull

	Deadline
	AnswerTruncated
	AnswerCrossed
	AnswerUndelimited
	BackendReset
	Held
	GrantUnavailable
	GrantsFull
	AgentStalled
	AnswerOmitted

	RetryConnect
	RetryRefused
	RetryBudget
	RetryAttempts
	RetryDeadline

	FrameInvalid
	FrameKind
	FrameService
	FrameTarget
	FrameIncarnation
	FrameConnectionID

	FlowLeaving
	FlowEvacuated
	FlowLoaded
	FlowHops
	FlowNoAlternate
	FlowRefused

	numCodes
)

// Info describes one reason.
type Info struct {
	Code Code
	Kind Kind
	// Name is the value of the Request-Reason header and of the counter tag.
	Name string
	// Text describes the reason for operators.
	Text string
}

var table = [numCodes]Info{
	SlotsFull:          {Kind: KindNotRun, Name: "slots-full", Text: "All slots are taken and the queue is turned off."},
	QueueFull:          {Kind: KindNotRun, Name: "queue-full", Text: "All slots are taken and the queue for them is full."},
	WaitTooLong:        {Kind: KindNotRun, Name: "wait-too-long", Text: "The expected wait for a slot is longer than the bound of the queue, or the wait reached it."},
	DeadlineTooClose:   {Kind: KindNotRun, Name: "deadline-too-close", Text: "The deadline leaves less time than the request is expected to wait and run."},
	DeadlineInQueue:    {Kind: KindNotRun, Name: "deadline-in-queue", Text: "The deadline passed before the request was handed to the backend server."},
	CallerGone:         {Kind: KindNotRun, Name: "caller-gone", Text: "The caller gave up before the request was handed to the backend server."},
	BackendAbsent:      {Kind: KindNotRun, Name: "backend-absent", Text: "No backend server has announced itself."},
	BackendUnreachable: {Kind: KindNotRun, Name: "backend-unreachable", Text: "No connection to the backend server could be opened."},
	BackendRefused:     {Kind: KindNotRun, Name: "backend-refused", Text: "The backend server answered that it did not run the request."},
	RequestTooLarge:    {Kind: KindNotRun, Name: "request-too-large", Text: "The request body is larger than max_request_bytes."},
	RequestInvalid:     {Kind: KindNotRun, Name: "request-invalid", Text: "The request or one of its protocol headers is malformed."},
	BodiesFull:         {Kind: KindNotRun, Name: "bodies-full", Text: "Too many bytes of request bodies are held at the same time."},
	WatchesFull:        {Kind: KindNotRun, Name: "watches-full", Text: "Too many watch sessions are open."},
	KeyMismatch:        {Kind: KindNotRun, Name: "key-mismatch", Text: "The idempotency key belongs to another request."},
	KeyInvalid:         {Kind: KindNotRun, Name: "key-invalid", Text: "The idempotency key is empty, repeated or too long."},
	KeysFull:           {Kind: KindNotRun, Name: "keys-full", Text: "The table of idempotency keys is full."},

	Deadline:          {Kind: KindUnknown, Name: "deadline", Text: "The deadline passed while the backend server had the request."},
	AnswerTruncated:   {Kind: KindUnknown, Name: "answer-truncated", Text: "The answer of the backend server ended early."},
	AnswerCrossed:     {Kind: KindUnknown, Name: "answer-crossed", Text: "The answer of the backend server belongs to another request."},
	AnswerUndelimited: {Kind: KindUnknown, Name: "answer-undelimited", Text: "The answer of the backend server has neither a length nor chunks, so that its end cannot be told from an abort."},
	BackendReset:      {Kind: KindUnknown, Name: "backend-reset", Text: "The connection to the backend server broke after the request was sent."},
	Held:              {Kind: KindUnknown, Name: "held", Text: "Another attempt with the same idempotency key holds the right to run and has no recorded answer."},
	GrantUnavailable:  {Kind: KindUnknown, Name: "grant-unavailable", Text: "No quorum of control hosts told whether an earlier attempt with this idempotency key ran. This attempt did not run; it may be sent again with its key."},
	GrantsFull:        {Kind: KindUnknown, Name: "grants-full", Text: "Too many requests wait for a grant on this host, so whether an earlier attempt with this idempotency key ran is not known. This attempt did not run; it may be sent again with its key."},
	AgentStalled:      {Kind: KindUnknown, Name: "agent-stalled", Text: "The agent stood still while the request may have been on its way, so whether an earlier attempt with this idempotency key ran is not known. This attempt did not run; it may be sent again with its key."},
	AnswerOmitted:     {Kind: KindUnknown, Name: "answer-omitted", Text: "The request ran once; its answer was too long to be recorded."},

	RetryConnect:  {Kind: KindRetry, Name: "connect", Text: "Repeated because no connection could be opened."},
	RetryRefused:  {Kind: KindRetry, Name: "refused", Text: "Repeated because the backend server did not run the request."},
	RetryBudget:   {Kind: KindRetry, Name: "budget-spent", Text: "Not repeated: the retry budget of the host is spent."},
	RetryAttempts: {Kind: KindRetry, Name: "attempts-spent", Text: "Not repeated: the request had all its attempts."},
	RetryDeadline: {Kind: KindRetry, Name: "deadline-too-close", Text: "Not repeated: the deadline leaves no time."},

	FrameInvalid:      {Kind: KindFrame, Name: "invalid", Text: "The frame is malformed or its tag is wrong."},
	FrameKind:         {Kind: KindFrame, Name: "kind", Text: "The frame is of a kind that agents do not receive."},
	FrameService:      {Kind: KindFrame, Name: "service", Text: "The frame is for another service."},
	FrameTarget:       {Kind: KindFrame, Name: "target", Text: "The frame is for another target."},
	FrameIncarnation:  {Kind: KindFrame, Name: "incarnation", Text: "The frame is for another incarnation of the target."},
	FrameConnectionID: {Kind: KindFrame, Name: "connection-id", Text: "The connection ID in the datagram does not name this target."},

	FlowLeaving:     {Kind: KindFlow, Name: "leaving", Text: "A new flow was handed on because the target is leaving."},
	FlowEvacuated:   {Kind: KindFlow, Name: "evacuated", Text: "A new flow was handed on because the failure domain of the target is evacuated."},
	FlowLoaded:      {Kind: KindFlow, Name: "loaded", Text: "A new flow was handed on because the target is far more loaded than usual."},
	FlowHops:        {Kind: KindFlow, Name: "hops", Text: "A new flow could not be handed on again: it had its hops."},
	FlowNoAlternate: {Kind: KindFlow, Name: "no-alternate", Text: "A new flow could not be handed on: no other target is known."},
	FlowRefused:     {Kind: KindFlow, Name: "refused", Text: "A handshake was refused because the target is leaving."},
}

// Info returns the description of the reason.
func (c Code) Info() Info {
	if c >= numCodes {
		return Info{Code: c}
	}
	info := table[c]
	info.Code = c
	return info
}

// String returns the name of the reason, empty for None.
func (c Code) String() string {
	return c.Info().Name
}

// Kind returns the kind of the reason, 0 for None.
func (c Code) Kind() Kind {
	return c.Info().Kind
}

// Table returns every reason in stable order.
func Table() []Info {
	all := make([]Info, 0, numCodes)
	for c := None + 1; c < numCodes; c++ {
		all = append(all, c.Info())
	}
	return all
}
