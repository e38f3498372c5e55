package ajp

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"

	"frosthub/internal/golden"

	"github.com/google/go-cmp/cmp"
)

// The words for the kinds of messages in the traces.
var (
	kindNames = map[Kind]string{
		Request:       "request",
		TooLarge:      "bad",
		NeedBodyChunk: "more",
		CPing:         "cping",
		Shutdown:      "shutdown",
	}
	replyKindNames = map[ReplyKind]string{
		Response:     "answer",
		GetBodyChunk: "wants",
		CPong:        "cpong",
	}
)

// openStream returns a function that feeds a server or a client, depending on the
// magic number of the first packet, and prints the messages. It marks requests as
// answered at once, except for those whose path ends in "/stays".
func openStream(print func(string, ...any)) func([]byte) error {
	server := NewServer(DefaultPacketSize)
	client := NewClient(DefaultPacketSize)
	client.AwaitingResponse = true
	first := true
	fromServer := false
	return func(b []byte) error {
		if len(b) > 0 && first {
			first = false
			fromServer = b[0] == magicToClient[0]
		}
		if fromServer {
			return client.Feed(b, func(r Reply) {
				print("%s %d %.20q reuse=%v room=%d", replyKindNames[r.Kind], r.Status, r.Body, r.Reuse, r.MaxLength)
				r.Headers.Each(func(name, value []byte) { print("  %q=%q", name, value) })
			})
		}
		return server.Feed(b, func(m Message) {
			print("%s %s %q ?%q route=%q secret=%q body=%.20q, %d held", kindNames[m.Kind],
				m.Method, m.Path, m.Query, m.Route, m.Secret, m.Body, server.Buffered()-len(server.request))
			m.Headers.Each(func(name, value []byte) { print("  %q=%.40q", name, value) })
			if m.Kind == Request && !strings.HasSuffix(string(m.Path), "/stays") {
				server.Done()
			}
		})
	}
}

func TestParser(t *testing.T) { golden.CheckParser(t, openStream) }

func FuzzParser(f *testing.F) { golden.FuzzParser(f, openStream) }

// TestRoundTrip checks that each side decodes the messages of the other, for
// various sizes of packets and bodies.
func TestRoundTrip(t *testing.T) {
	for _, packetSize := range []int{1 << 10, DefaultPacketSize, MaxPacketSize - 1} {
		for _, bodySize := range []int{0, 1, 100, 1010, 1018, 1019, MaxBodySize - 1, MaxBodySize} {
			body := strings.Repeat("x", bodySize)
			for _, unknownLength := range []bool{false, true} {
				t.Run(fmt.Sprintf("packets of %d, body of %d, unknown length %v", packetSize, bodySize, unknownLength), func(t *testing.T) {
					checkRequestRoundTrip(t, packetSize, body, unknownLength)
					checkResponseRoundTrip(t, packetSize, body)
				})
			}
		}
	}
}

func checkRequestRoundTrip(t *testing.T, packetSize int, body string, unknownLength bool) {
	t.Helper()
	request := ForwardRequest{
		Path:          "/invoke/status",
		Query:         "deep=1",
		Route:         "w1",
		Secret:        "s",
		Headers:       []Header{{"X-Request-Id", "0123456789abcdef"}},
		Body:          []byte(body),
		UnknownLength: unknownLength,
	}
	rest := request.Body
	if !unknownLength {
		rest = rest[min(len(rest), packetSize-packetHeaderSize-2):]
	}
	server := NewServer(packetSize)
	var got []string
	for input := AppendForward(nil, &request, packetSize); len(input) > 0; {
		var next []byte
		err := server.Feed(input, func(m Message) {
			if m.Kind == NeedBodyChunk {
				next, rest = AppendBodyChunk(next, rest, packetSize)
				return
			}
			got = append(got, fmt.Sprintf("%d %s %s?%s %s %s %d", m.Kind, m.Method, m.Path, m.Query, m.Route, m.Secret, len(m.Body)))
		})
		if err != nil {
			t.Fatal(err)
		}
		input = next
	}
	want := []string{fmt.Sprint("1 POST /invoke/status?deep=1 w1 s ", len(body))}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

func checkResponseRoundTrip(t *testing.T, packetSize int, body string) {
	t.Helper()
	response := AppendHeaders(nil, 200, "OK", []Header{{"X-Load-Signal", "0.5"}})
	response = AppendResponseBody(response, packetSize, []byte(body))
	response = AppendEnd(response, true)
	client := NewClient(packetSize)
	client.AwaitingResponse = true
	err := client.Feed(response, func(r Reply) {
		if r.Status != 200 || string(r.Body) != body || !r.Reuse || r.Headers.count != 1 {
			t.Error(r)
		}
	})
	if err != nil || client.AwaitingResponse {
		t.Error(err)
	}
}

// TestServerInput checks that a server accepts CPing and rejects other protocols.
func TestServerInput(t *testing.T) {
	server := NewServer(DefaultPacketSize)
	err := server.Feed(AppendCPing(nil), func(m Message) {
		if m.Kind != CPing {
			t.Error(m.Kind)
		}
	})
	if err != nil {
		t.Error(err)
	}
	if err := server.Feed([]byte("GET / HTTP/1.1\r\n"), nil); !errors.Is(err, ErrMagic) {
		t.Error(err)
	}
}

// TestNoAllocations checks that decoding a request without a body allocates no
// memory.
func TestNoAllocations(t *testing.T) {
	server := NewServer(DefaultPacketSize)
	input := AppendForward(nil, &ForwardRequest{
		Path:    "/invoke/status",
		Headers: []Header{{"X-Request-Id", "0123456789abcdef"}, {"X-Caller", "4"}},
	}, DefaultPacketSize)
	valueBytes := 0
	handle := func(m Message) {
		m.Headers.Each(func(_, value []byte) { valueBytes += len(value) })
		server.Done()
	}
	if n := testing.AllocsPerRun(1000, func() { _ = server.Feed(input, handle) }); n > 0 {
		t.Error(n, "allocations for a request")
	}
}

// TestWriteSeeds writes the inputs of the trace. The flag -update generates their
// outputs, which must be reviewed before they are committed.
func TestWriteSeeds(t *testing.T) {
	if os.Getenv("AJP_SEEDS") == "" {
		t.Skip("overwrites testdata; runs only with AJP_SEEDS set")
	}
	var out strings.Builder
	line := func(comment string, input []byte) { fmt.Fprintf(&out, "%q # %s\n", input, comment) }
	plain := ForwardRequest{Path: "/invoke/status", Query: "a=b", Route: "w1", Secret: "s3", Headers: []Header{{"X-Request-Id", "0123456789abcdef"}}}
	stays := plain
	stays.Path = "/stays"
	forward := func(r ForwardRequest) []byte { return AppendForward(nil, &r, DefaultPacketSize) }
	body := plain
	body.Body = []byte("a body")
	unknown := body
	unknown.UnknownLength = true
	chunk := func(s string) []byte {
		b, _ := AppendBodyChunk(nil, []byte(s), DefaultPacketSize)
		return b
	}
	concat := func(parts ...[]byte) []byte { return slices.Concat(parts...) }
	raw := func(content string) []byte {
		return appendPacket(nil, magicToServer, func(b []byte) []byte { return append(b, content...) })
	}
	line("a req, and another when it is answered", concat(forward(plain), forward(plain)))
	line("a req with a body that comes unasked", forward(body))
	line("a body of unknown length, which is asked for until it is empty", concat(forward(unknown), chunk("a "), chunk("body"), chunk("")))
	line("CPing and Ping on an idle connection", concat(AppendCPing(nil), raw("\x08"), AppendCPing(nil)))
	line("Shutdown is not obeyed", raw("\x07"))
	line("a second req before the first is answered", concat(forward(stays), forward(plain)))
	line("CPing before the answer", concat(forward(stays), AppendCPing(nil)))
	line("CPing in the middle of a body", concat(forward(unknown), AppendCPing(nil)))
	short := forward(body)
	short = short[:len(short)-12]
	line("a body that ends early", concat(short, chunk("")))
	line("a body that is longer than announced", concat(short, chunk("a body and more")))
	line("a part shorter than it says", concat(short, raw("\x00\x09abc")))
	big := plain
	big.Headers = []Header{{"Content-Length", "999999999999"}}
	line("a body past the limit, of which nothing more is read", concat(forward(big), chunk(strings.Repeat("x", 500))))
	big.Headers = []Header{{"Content-Length", "-1"}}
	line("a negative length", forward(big))
	big.Headers = []Header{{"Content-Length", "1"}, {"content-length", "2"}}
	line("two lengths", forward(big))
	line("a string without its end", raw("\x02\x04\x00\x02ab\x01"))
	line("a string past its packet", raw("\x02\x04\x7f\xffab\x00"))
	line("a null path, no headers", raw("\x02\x04\x00\x01a\x00\xff\xff\xff\xff\xff\xff\xff\xff\x00\x50\x00\x00\x00\xff"))
	line("more headers than announced", raw("\x02\x04\x00\x01a\x00\xff\xff\xff\xff\xff\xff\xff\xff\x00\x50\x00\x00\x00\x00\x01x\x00\x00\x01y\x00\xff"))
	line("fewer headers than announced", raw("\x02\x04\x00\x01a\x00\xff\xff\xff\xff\xff\xff\xff\xff\x00\x50\x00\x00\x05\xff"))
	line("a coded header that is none", raw("\x02\x04\x00\x01a\x00\xff\xff\xff\xff\xff\xff\xff\xff\x00\x50\x00\x00\x01\xa0\x7f\x00\x01y\x00\xff"))
	line("coded headers, a stored method, a key size, an attribute", raw("\x02\xff\x00\x01a\x00\x00\x02/x\x00\xff\xff\xff\xff\xff\xff\x00\x50\x01\x00\x01\xa0\x0e\x00\x01y\x00\x0d\x00\x03FOO\x00\x0b\x00\x80\x0a\x00\x01n\x00\x00\x01v\x00\xff"))
	line("no end of attributes", raw("\x02\x04\x00\x01a\x00\xff\xff\xff\xff\xff\xff\xff\xff\x00\x50\x00\x00\x00"))
	line("a packet that is too long", []byte("\x12\x34\xff\xff"))
	line("an empty packet", raw(""))
	line("another protocol", []byte("\x12GET"))
	ok := AppendHeaders(nil, 200, "OK", []Header{{"X-Load-Signal", "0.5"}})
	line("an answer in two chunks", concat(ok, AppendResponseBody(nil, DefaultPacketSize, []byte("one ")), AppendResponseBody(nil, DefaultPacketSize, []byte("two")), AppendEnd(nil, true)))
	line("an answer that asks for more first, and has no body", concat(AppendGetBodyChunk(nil, DefaultPacketSize), AppendHeaders(nil, 503, "No", nil), AppendEnd(nil, false)))
	line("a chunk before the headers", AppendResponseBody(nil, DefaultPacketSize, []byte("x")))
	line("headers twice", concat(ok, ok))
	line("an end before the headers", AppendEnd(nil, true))
	line("a chunk longer than its packet", concat(ok, []byte("AB\x00\x05\x03\x00\x09ab")))
	line("an answer to nothing", concat(ok, AppendEnd(nil, true), ok))
	line("CPong in the middle of an answer", concat(ok, AppendCPong(nil)))
	line("another protocol from a server", []byte("AX"))
	if err := os.WriteFile("testdata/packets.trace", []byte("# Packets as front ends and servers may send them, and what is read of them.\n"+out.String()), 0o644); err != nil {
		t.Fatal(err)
	}
}
