package verdict

// Reason classifies a refusal, a retry or a failure. Each Reason has a counter
// (see Count).
type Reason string

// Reasons of the entry.
const (
	UnknownService      Reason = "unknown-service"
	InvalidRequest      Reason = "invalid-request"
	BodyTooLarge        Reason = "body-too-large"
	RateLimited         Reason = "rate-limited"
	QueueFull           Reason = "queue-full"
	WaitTooShort        Reason = "wait-too-short"
	WaitExpired         Reason = "wait-expired"
	NoUpstream          Reason = "no-upstream"
	ShuttingDown        Reason = "shutting-down"
	ClientDisconnected  Reason = "client-gone"
	ClaimUnavailable    Reason = "claim-unavailable"
	ClaimRunning        Reason = "claim-running"
	ClaimUnconfirmed    Reason = "claim-doubtful"
	KeyReused           Reason = "key-reused"
	RetryBudgetSpent    Reason = "retry-budget-spent"
	BodyIncomplete      Reason = "body-incomplete"
	NoConfiguration     Reason = "no-configuration"
	BodyMemoryExhausted Reason = "bodies-full"
	UnknownJob          Reason = "unknown-job"
	JobRefused          Reason = "job-refused"
	TableUnavailable    Reason = "table-unavailable"
	Internal            Reason = "internal"
)

// Reasons of the exchange between entry and agent.
const (
	SessionLost   Reason = "session-lost"
	SessionSilent Reason = "session-silent"
	OfferRefused  Reason = "offer-refused"
	OfferExpired  Reason = "offer-expired"
	WrongAnswer   Reason = "wrong-answer"
)

// Reasons of the agent.
const (
	SlotsTaken          Reason = "slots-taken"
	AgentLeaving        Reason = "agent-leaving"
	ZoneDrained         Reason = "zone-out"
	UpstreamFailed      Reason = "upstream-failed"
	UpstreamTruncated   Reason = "upstream-truncated"
	UpstreamUnreachable Reason = "upstream-unreachable"
)

// Reasons lists all reasons in the order of their declaration.
var Reasons = []Reason{
	UnknownService, InvalidRequest, BodyTooLarge, RateLimited, QueueFull, WaitTooShort, WaitExpired,
	NoUpstream, ShuttingDown, ClientDisconnected, ClaimUnavailable, ClaimRunning, ClaimUnconfirmed, KeyReused,
	RetryBudgetSpent, BodyIncomplete, NoConfiguration, BodyMemoryExhausted, UnknownJob, JobRefused, TableUnavailable, Internal,
	SessionLost, SessionSilent, OfferRefused, OfferExpired, WrongAnswer,
	SlotsTaken, AgentLeaving, ZoneDrained, UpstreamFailed, UpstreamTruncated, UpstreamUnreachable,
}
