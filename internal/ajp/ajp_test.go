package ajp

import (
	"errors"
	"fmt"
	"frosthub/internal/golden"
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// open follows a stream to a server or from one, as its first byte says. A req is answered once the next comes with
// an even path, at once with others.
func open(print func(string, ...any)) func([]byte) error {
	s, c := NewServer(DefaultPacketSize), NewClient(DefaultPacketSize)
	c.AwaitingResponse = true
	client := false
	first := true
	return func(b []byte) error {
		if len(b) > 0 && first {
			first, client = false, b[0] == toClient0
		}
		if client {
			return c.Feed(b, func(a Reply) {
				print("%s %d %.20q reuse=%v room=%d", []string{"", "answer", "wants", "cpong"}[a.Kind], a.Status, a.Body, a.Reuse, a.MaxLength)
				a.Headers.Each(func(name, value []byte) { print("  %q=%q", name, value) })
			})
		}
		return s.Feed(b, func(m Message) {
			print("%s %s %q ?%q route=%q secret=%q body=%.20q, %d held", []string{"", "request", "bad", "more", "cping", "shutdown"}[m.Kind],
				m.Method, m.Path, m.Query, m.Route, m.Secret, m.Body, s.Buffered()-len(s.kept))
			m.Headers.Each(func(name, value []byte) { print("  %q=%.40q", name, value) })
			if m.Kind == Request && !strings.HasSuffix(string(m.Path), "/stays") {
				s.Done()
			}
		})
	}
}

func TestParser(t *testing.T) { golden.Parser(t, open) }

func FuzzParser(f *testing.F) { golden.Fuzz(f, open) }

// TestRoundTrip: what one side writes the other reads, whatever the sizes of packets and bodies.
func TestRoundTrip(t *testing.T) {
	for _, most := range []int{1 << 10, DefaultPacketSize, MaxPacketSize - 1} {
		for _, size := range []int{0, 1, 100, 1010, 1018, 1019, MaxBodySize - 1, MaxBodySize} {
			for _, unknown := range []bool{false, true} {
				body := strings.Repeat("x", size)
				s := NewServer(most)
				var got []string
				f := ForwardRequest{
					Path: "/invoke/status", Query: "deep=1", Route: "w1", Secret: "s", Body: []byte(body), UnknownLength: unknown,
					Headers: []Header{{"X-Request-Id", "0123456789abcdef"}},
				}
				rest := f.Body
				if !unknown {
					rest = rest[min(len(rest), most-headLen-2):]
				}
				out := AppendForward(nil, &f, most)
				for len(out) > 0 {
					var next []byte
					if err := s.Feed(out, func(m Message) {
						if m.Kind == NeedBodyChunk {
							next, rest = AppendBodyChunk(next, rest, most)
							return
						}
						got = append(got, fmt.Sprint(m.Kind, " ", m.Method, " ", string(m.Path), "?", string(m.Query), " ", string(m.Route),
							" ", string(m.Secret), " ", len(m.Body)))
					}); err != nil {
						t.Fatal(most, size, unknown, err)
					}
					out = next
				}
				want := []string{fmt.Sprint("1 POST /invoke/status?deep=1 w1 s ", size)}
				if diff := cmp.Diff(want, got); diff != "" {
					t.Error(most, size, unknown, diff)
				}
				s.Done()
				c := NewClient(most)
				c.AwaitingResponse = true
				answer := AppendHeaders(nil, 200, "OK", []Header{{"X-Load-Signal", "0.5"}})
				answer = AppendEnd(AppendResponseBody(answer, most, []byte(body)), true)
				if err := c.Feed(answer, func(a Reply) {
					if a.Status != 200 || string(a.Body) != body || !a.Reuse || a.Headers.n != 1 {
						t.Error(most, size, a)
					}
				}); err != nil || c.AwaitingResponse {
					t.Error(most, size, err)
				}
			}
		}
	}
	s := NewServer(DefaultPacketSize)
	if err := s.Feed(AppendCPing(nil), func(m Message) {
		if m.Kind != CPing {
			t.Error(m.Kind)
		}
	}); err != nil {
		t.Error(err)
	}
	if err := s.Feed([]byte("GET / HTTP/1.1\r\n"), nil); !errors.Is(err, ErrMagic) {
		t.Error(err)
	}
}

// TestNoAllocations: a req without a body is read without taking memory.
func TestNoAllocations(t *testing.T) {
	s := NewServer(DefaultPacketSize)
	in := AppendForward(nil, &ForwardRequest{Path: "/invoke/status", Headers: []Header{{"X-Request-Id", "0123456789abcdef"}, {"X-Caller", "4"}}}, DefaultPacketSize)
	n := 0
	f := func(m Message) {
		m.Headers.Each(func(_, value []byte) { n += len(value) })
		s.Done()
	}
	if a := testing.AllocsPerRun(1000, func() { _ = s.Feed(in, f) }); a > 0 {
		t.Error(a, "allocations a req")
	}
}

// TestWriteSeeds writes the traces' inputs; their outputs are made by -update and read.
func TestWriteSeeds(t *testing.T) {
	if os.Getenv("AJP_SEEDS") == "" {
		t.Skip("writes testdata")
	}
	var out strings.Builder
	line := func(note string, b []byte) { fmt.Fprintf(&out, "%q # %s\n", b, note) }
	plain := ForwardRequest{Path: "/invoke/status", Query: "a=b", Route: "w1", Secret: "s3", Headers: []Header{{"X-Request-Id", "0123456789abcdef"}}}
	stays := plain
	stays.Path = "/stays"
	fw := func(f ForwardRequest) []byte { return AppendForward(nil, &f, DefaultPacketSize) }
	body := plain
	body.Body = []byte("a body")
	unknown := body
	unknown.UnknownLength = true
	part := func(s string) []byte { b, _ := AppendBodyChunk(nil, []byte(s), DefaultPacketSize); return b }
	cat := func(all ...[]byte) (b []byte) {
		for _, x := range all {
			b = append(b, x...)
		}
		return b
	}
	raw := func(content string) []byte {
		return packet(nil, toServer0, toServer1, func(b []byte) []byte { return append(b, content...) })
	}
	line("a req, and another when it is answered", cat(fw(plain), fw(plain)))
	line("a req with a body that comes unasked", fw(body))
	line("a body of unknown length, which is asked for until it is empty", cat(fw(unknown), part("a "), part("body"), part("")))
	line("CPing and Ping on an idle connection", cat(AppendCPing(nil), raw("\x08"), AppendCPing(nil)))
	line("Shutdown is not obeyed", raw("\x07"))
	line("a second req before the first is answered", cat(fw(stays), fw(plain)))
	line("CPing before the answer", cat(fw(stays), AppendCPing(nil)))
	line("CPing in the middle of a body", cat(fw(unknown), AppendCPing(nil)))
	short := fw(body)
	short = short[:len(short)-12]
	line("a body that ends early", cat(short, part("")))
	line("a body that is longer than announced", cat(short, part("a body and more")))
	line("a part shorter than it says", cat(short, raw("\x00\x09abc")))
	big := plain
	big.Headers = []Header{{"Content-Length", "999999999999"}}
	line("a body past the limit, of which nothing more is read", cat(fw(big), part(strings.Repeat("x", 500))))
	big.Headers = []Header{{"Content-Length", "-1"}}
	line("a negative length", fw(big))
	big.Headers = []Header{{"Content-Length", "1"}, {"content-length", "2"}}
	line("two lengths", fw(big))
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
	line("an answer in two chunks", cat(ok, AppendResponseBody(nil, DefaultPacketSize, []byte("one ")), AppendResponseBody(nil, DefaultPacketSize, []byte("two")), AppendEnd(nil, true)))
	line("an answer that asks for more first, and has no body", cat(AppendGetBodyChunk(nil, DefaultPacketSize), AppendHeaders(nil, 503, "No", nil), AppendEnd(nil, false)))
	line("a chunk before the headers", AppendResponseBody(nil, DefaultPacketSize, []byte("x")))
	line("headers twice", cat(ok, ok))
	line("an end before the headers", AppendEnd(nil, true))
	line("a chunk longer than its packet", cat(ok, []byte("AB\x00\x05\x03\x00\x09ab")))
	line("an answer to nothing", cat(ok, AppendEnd(nil, true), ok))
	line("CPong in the middle of an answer", cat(ok, AppendCPong(nil)))
	line("another protocol from a server", []byte("AX"))
	if err := os.WriteFile("testdata/packets.trace", []byte("# Packets as front ends and servers may send them, and what is read of them.\n"+out.String()), 0o644); err != nil {
		t.Fatal(err)
	}
}
