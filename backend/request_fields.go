package backend

import (
	"math"
	"strconv"
	"time"

	"frosthub/accounting"
	"frosthub/internal/lineproto"
	"frosthub/overload"
)

// Bounds of what requests may say of themselves.
const (
	maxMemoryKB        = 2000.0                  // kilobytes booked for a request, by the protocol
	maxCostFactor      = 10                      // client timeouts that a stated cost may be: nothing could come of a longer run
	maxStartMillis     = math.MaxInt64 / 2 / 1e6 // milliseconds since 1970 that fit a time.Duration
	maxTimestampMillis = math.MaxInt64 / 2       // of any time in milliseconds
	maxDurationMillis  = 1e9                     // milliseconds of a cost or a timeout
)

// requestField is a field that a request may have, whatever its protocol calls it.
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
	customerField // the customer by which requests are accounted for
	guardKeyField // what names a request that must not run twice
	createdField  // when the request was first made
	idempotencyKeyField
	tenantField // the customer whose quota the request counts against
	timeoutField
)

// headerFields are the fields with the headers that the deployment defines. Operators name others for customerField,
// keyField and createdField.
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

// parsedRequest is a request whose fields are being read.
type parsedRequest struct {
	backend        *Backend
	request        *request
	arrival        overload.Event // what the controller is to hear of it
	path           string
	query          string
	start          float64 // Unix milliseconds
	hasStart       bool
	customer       accounting.CustomerName
	tenant         string
	idempotencyKey string // its idempotency key
	problem        string // what is wrong with a field; empty for nothing

	// Both are read only where something must not run twice.
	customerID []byte // the customer's name in full
	guardKey   []byte // the field that names what must not run twice

	createdAt float64 // when it was first made, in Unix milliseconds; 0 if not stated
}

func (f *frontend) newParsedRequest(from exchange, body []byte) *parsedRequest {
	return &parsedRequest{
		backend: f.backend,
		request: &request{client: from.client, slot: from.slot, keepOpen: from.keepOpen, body: body},
		arrival: overload.Event{Kind: overload.Arrived},
	}
}

// setAll takes a field in each of its meanings.
func (p *parsedRequest) setAll(fields []requestField, value []byte) {
	for _, field := range fields {
		p.set(field, value)
	}
}

// set takes a field. What is wrong with it is noted in problem.
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
		p.start = p.number(value, maxTimestampMillis)
		p.hasStart = true
	case callerField:
		p.setCaller(value)
	case costField:
		p.arrival.Hint = p.milliseconds(value)
	case memoryField:
		p.arrival.SizeKB = p.number(value, maxMemoryKB)
	case rankField:
		p.arrival.ValueRank = p.number(value, 1)
	case objectField:
		p.arrival.Resource = string(value)
	case customerField:
		p.setCustomer(value)
	case guardKeyField:
		p.guardKey = append(p.guardKey[:0], value...)
	case createdField:
		p.createdAt = p.number(value, maxTimestampMillis)
	case idempotencyKeyField:
		p.idempotencyKey = string(value)
	case tenantField:
		p.tenant = string(value)
	case timeoutField:
		p.request.clientTimeout = p.milliseconds(value)
	}
}

const notANumber = "a field is not a number in its range"

// number reads a number from 0 to limit.
func (p *parsedRequest) number(value []byte, limit float64) float64 {
	n, err := strconv.ParseFloat(string(value), 64)
	if err != nil || !(n >= 0 && n <= limit) {
		p.problem = notANumber
	}
	return n
}

func (p *parsedRequest) milliseconds(value []byte) time.Duration {
	return time.Duration(p.number(value, maxDurationMillis) * float64(time.Millisecond))
}

// setCaller takes the number of the calling front end, which is the customer too where no header names one.
func (p *parsedRequest) setCaller(value []byte) {
	n := p.number(value, math.MaxInt32)
	p.arrival.EdgeNode = int(n)
	if float64(p.arrival.EdgeNode) != n {
		p.problem = notANumber
	}
	if p.backend.cfg.Accounting.CustomerField == "" {
		p.setCustomer(value)
	}
}

func (p *parsedRequest) setCustomer(value []byte) {
	p.customer = accounting.NewCustomerName(value)
	if p.backend.guard.enabled() {
		p.customerID = append(p.customerID[:0], value...)
	}
}
