package backend

import (
	"testing"

	"frosthub/idempotency"
)

// TestStoreState checks the state of the store, depending on whether it was loaded and whether the disk has failed.
func TestStoreState(t *testing.T) {
	for _, test := range []struct {
		guard idempotencyGuard
		want  storeState
	}{
		{idempotencyGuard{}, storeLoading},
		{idempotencyGuard{storeFailed: true}, storeUnavailable},
		{idempotencyGuard{store: &idempotency.Store{}}, storeReady},
		{idempotencyGuard{store: &idempotency.Store{}, storeFailed: true}, storeReadOnly},
	} {
		t.Run(test.want.String(), func(t *testing.T) {
			if got := test.guard.storeState(); got != test.want {
				t.Errorf("state %v, want %v", got, test.want)
			}
		})
	}
}

// newKeyTestGuard returns the guard of a backend with the handlers "read" and "file-claim".
func newKeyTestGuard() *idempotencyGuard {
	b := &Backend{handlers: []handler{{name: "read"}, {name: "file-claim"}}}
	b.guard.backend = b
	return &b.guard
}

// TestIdempotencyKey checks that a key depends on the handler and on each of its parts, and on nothing else.
func TestIdempotencyKey(t *testing.T) {
	guard := newKeyTestGuard()
	newRequest := func() *parsedRequest {
		return &parsedRequest{
			request:    &request{handler: 1, wireID: "0a", body: []byte("body")},
			customerID: []byte("south"),
			guardKey:   []byte("field"),
		}
	}
	for _, test := range []struct {
		name   string
		parts  []KeyPart
		change func(*parsedRequest)
		same   bool
	}{
		{"no change", []KeyPart{KeyPartID, KeyPartCustomer, KeyPartField, KeyPartBody}, func(*parsedRequest) {}, true},
		{"another handler", []KeyPart{KeyPartBody}, func(p *parsedRequest) { p.request.handler = 0 }, false},
		{"another id", []KeyPart{KeyPartID}, func(p *parsedRequest) { p.request.wireID = "0b" }, false},
		{"another customer", []KeyPart{KeyPartCustomer}, func(p *parsedRequest) { p.customerID = []byte("north") }, false},
		{"another field", []KeyPart{KeyPartField}, func(p *parsedRequest) { p.guardKey = []byte("other") }, false},
		{"another body", []KeyPart{KeyPartBody}, func(p *parsedRequest) { p.request.body = []byte("other") }, false},
		{"another id that is no part", []KeyPart{KeyPartBody}, func(p *parsedRequest) { p.request.wireID = "0b" }, true},
		{"another boundary of two parts", []KeyPart{KeyPartCustomer, KeyPartField}, func(p *parsedRequest) {
			p.customerID = []byte("southf")
			p.guardKey = []byte("ield")
		}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			changed := newRequest()
			test.change(changed)
			same := guard.keyOf(newRequest(), test.parts) == guard.keyOf(changed, test.parts)
			if same != test.same {
				t.Errorf("the same key: %v, want %v", same, test.same)
			}
		})
	}
}
