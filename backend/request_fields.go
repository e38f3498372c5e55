package backend

import (
	"math"
	"strconv"
	"time"

	"frosthub/accounting"
	"frosthub/internal/lineproto"
	"frosthub/overload"
)

// Bounds of request fields.
const (
	maxMemoryKB        = 2000.0                  // kilobytes; the protocol's limit for the memory of a request
	maxCostFactor      = 10                      // of the client timeout, for a stated cost; a longer run could not finish in time
	maxStartMillis     = math.MaxInt64 / 2 / 1e6 // milliseconds since 1970 that fit a time.Duration
	maxTimestampMillis = math.MaxInt64 / 2       // milliseconds since 1970, for any timestamp field
	maxDurationMillis  = 1e9                     // milliseconds, for a cost or a timeout
)

// requestField identifies a request field independently of its name in a protocol.
type requestField uint8

const (
	pathField requestField = iota
	queryField
	idField
	startField
	callerField
	costField
	memoryField
	rankField
	objectField
	customerField       // customer that the request is accounted to
	guardKeyField       // header IdempotencyConfig.KeyField, which can be a part of the key of a guarded request
	createdField        // time of the first attempt
	idempotencyKeyField // key under which the result cache recognizes repeats of a request that must run only once
	tenantField         // customer whose quota the request counts against
	timeoutField
)

// headerFields maps the headers that the deployment defines to fields. The headers for customerField, guardKeyField and
// createdField are set in the operator's configuration.
var headerFields = []headerField{
	{"X-Request-Id", idField},
	{"X-Request-Start", startField},
	{"X-Caller", callerField},
	{"X-Cost-Ms", costField},
	{"X-Memory-Kb", memoryField},
	{"X-Rank", rankField},
	{"X-Object", objectField},
	{"Idempotency-Key", idempotencyKeyField},
	{"X-Tenant", tenantField},
	{"X-Timeout-Ms", timeoutField},
}

// parsedRequest collects the fields of a request while they are parsed.
type parsedRequest struct {
	backend        *Backend
	request        *request
	arrival        overload.Event // event for the overload controller
	path           string
	query          string
	start          float64 // in Unix milliseconds
	hasStart       bool
	customer       accounting.CustomerName
	tenant         string
	idempotencyKey string // value of the Idempotency-Key header, for the result cache
	problem        string // describes an invalid field; empty if all are valid

	// The key of a guarded request is computed from these two, among others.
	customerID []byte // full name of the customer
	guardKey   []byte // value of the header IdempotencyConfig.KeyField

	createdAt float64 // time of the first attempt in Unix milliseconds; 0 if not stated
}

// newParsedRequest returns a request with the given body whose fields are not parsed yet.
func (f *frontend) newParsedRequest(from exchange, body []byte) *parsedRequest {
	return &parsedRequest{
		backend: f.backend,
		request: &request{client: from.client, slot: from.slot, keepOpen: from.keepOpen, body: body},
		arrival: overload.Event{Kind: overload.Arrived},
	}
}

// setAll sets each of the given fields to value. A header may be configured for several fields.
func (p *parsedRequest) setAll(fields []requestField, value []byte) {
	for _, field := range fields {
		p.set(field, value)
	}
}

// set parses the value of a field. If it is invalid, set records that in p.problem.
func (p *parsedRequest) set(field requestField, value []byte) {
	switch field {
	case pathField:
		p.path = string(value)
	case queryField:
		p.query = string(value)
	case idField:
		p.request.wireID = string(value)
		p.request.id, _ = lineproto.ParseID(value)
	case startField:
		p.start = p.parseNumber(value, maxTimestampMillis)
		p.hasStart = true
	case callerField:
		p.setCaller(value)
	case costField:
		p.arrival.Hint = p.parseMilliseconds(value)
	case memoryField:
		p.arrival.SizeKB = p.parseNumber(value, maxMemoryKB)
	case rankField:
		p.arrival.ValueRank = p.parseNumber(value, 1)
	case objectField:
		p.arrival.Resource = string(value)
	case customerField:
		p.setCustomer(value)
	case guardKeyField:
		p.guardKey = append(p.guardKey[:0], value...)
	case createdField:
		p.createdAt = p.parseNumber(value, maxTimestampMillis)
	case idempotencyKeyField:
		p.idempotencyKey = string(value)
	case tenantField:
		p.tenant = string(value)
	case timeoutField:
		p.request.clientTimeout = p.parseMilliseconds(value)
	}
}

const notANumber = "a numeric field is malformed or out of range"

// parseNumber parses a number from 0 to limit. If value is not one, parseNumber records that in p.problem.
func (p *parsedRequest) parseNumber(value []byte, limit float64) float64 {
	n, err := strconv.ParseFloat(string(value), 64)
	if err != nil || !(n >= 0 && n <= limit) {
		p.problem = notANumber
	}
	return n
}

// parseMilliseconds parses a duration of up to maxDurationMillis milliseconds like parseNumber.
func (p *parsedRequest) parseMilliseconds(value []byte) time.Duration {
	return time.Duration(p.parseNumber(value, maxDurationMillis) * float64(time.Millisecond))
}

// setCaller sets the number of the calling edge node, which is also the customer if no customer header is configured.
func (p *parsedRequest) setCaller(value []byte) {
	n := p.parseNumber(value, math.MaxInt32)
	p.arrival.EdgeNode = int(n)
	if float64(p.arrival.EdgeNode) != n {
		p.problem = notANumber
	}
	if p.backend.cfg.Accounting.CustomerField == "" {
		p.setCustomer(value)
	}
}

// setCustomer sets the customer that the request is accounted to, and the customer's full name if a key may need it.
func (p *parsedRequest) setCustomer(value []byte) {
	p.customer = accounting.NewCustomerName(value)
	if p.backend.guard.enabled() {
		p.customerID = append(p.customerID[:0], value...)
	}
}
