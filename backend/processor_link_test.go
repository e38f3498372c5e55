package backend

import (
	"testing"

	"frosthub/internal/conn"
)

// TestLinkState checks that the state of the link is derived correctly from its connection and open queries.
func TestLinkState(t *testing.T) {
	for _, test := range []struct {
		link processorLink
		want linkState
	}{
		{processorLink{}, linkDown},
		{processorLink{replacement: &conn.Conn{}}, linkDown},
		{processorLink{conn: &conn.Conn{}}, linkGreeting},
		{processorLink{conn: &conn.Conn{}, resyncTag: 3}, linkGreeting}, // resyncTag is left over from the previous connection
		{processorLink{conn: &conn.Conn{}, helloReceived: true, resyncTag: 3}, linkResyncing},
		{processorLink{conn: &conn.Conn{}, helloReceived: true}, linkReady},
		{processorLink{conn: &conn.Conn{}, helloReceived: true, addressReplaced: true}, linkReady},
		{processorLink{conn: &conn.Conn{}, helloReceived: true, quiesceTag: 4, replacement: &conn.Conn{}}, linkQuiescing},
	} {
		t.Run(test.want.String(), func(t *testing.T) {
			if got := test.link.state(); got != test.want {
				t.Errorf("state %v, want %v", got, test.want)
			}
			if got := test.link.ready(); got != (test.want == linkReady) {
				t.Errorf("ready %v in state %v", got, test.want)
			}
		})
	}
}
