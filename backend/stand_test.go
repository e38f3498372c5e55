package backend

import (
	"bufio"
	"context"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"frosthub/internal/ajp"
	"frosthub/internal/fake"
	"frosthub/internal/harness"
	"frosthub/internal/wal"
	"io"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	quiet   = 40 * time.Millisecond // nothing must happen for so long before a step is over
	patient = 5 * time.Second       // for what is expected to follow: machines stand still at times
)

// stage has a backend and stand-ins for all that it talks to. Each prints what it gets.
type stage struct {
	t         *testing.T
	mu        sync.Mutex
	lines     []string // "party: text", in the order that each party saw them
	last      time.Time
	b         *Backend
	leave     context.CancelFunc
	processor *peer
	tier      *peer
	peers     []*peer // those and their forerunners
	edges     map[string]*edgeNode
	control   net.PacketConn
	listen    string
	options   map[string]string
	n         int             // notices sent
	ajp       bool            // edge nodes speak AJP
	jp        string          // and connect there
	known     map[string]bool // ids that were begun; false: the processor knows no such req
	disk      *fake.Disk      // of what is kept
	hold      *sync.Mutex     // held while the disk stands still
	lives     atomic.Int32
	gate      chan struct{} // holds the owner
}

func (s *stage) print(party, format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lines = append(s.lines, party+": "+fmt.Sprintf(format, args...))
	s.last = time.Now()
}

// printer prints for a party until the present backend dies.
func (s *stage) printer(party string) func(format string, args ...any) {
	life := s.lives.Load()
	return func(format string, args ...any) {
		if life == s.lives.Load() {
			s.print(party, format, args...)
		}
	}
}

// know tells whether an id was begun, and whether it is to be rejected.
func (s *stage) know(id string, begins bool) (begun, strange bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if begins {
		s.known[id] = true
	}
	begun, said := s.known[id]
	return begun, said && !begun
}

// settle waits until so many lines are there and nothing happens any more, and gives them by party.
func (s *stage) settle(expected int) []string {
	start, calm := time.Now(), quiet
	if expected < 0 {
		calm *= 6 // written anew: nothing tells what is still to come
	}
	s.mu.Lock()
	s.last = start
	s.mu.Unlock()
	for {
		time.Sleep(quiet / 8)
		s.mu.Lock()
		if time.Since(s.last) >= calm && (len(s.lines) >= expected || time.Since(start) > patient) {
			out := s.lines
			s.lines = nil
			s.mu.Unlock()
			slices.SortStableFunc(out, func(x, y string) int {
				return strings.Compare(strings.SplitN(x, ":", 2)[0], strings.SplitN(y, ":", 2)[0])
			})
			return out
		}
		s.mu.Unlock()
	}
}

// peer is a stand-in that listens: the processor or the next tier.
type peer struct {
	s    *stage
	name string
	ln   net.Listener
	mu   sync.Mutex
	c    net.Conn            // that spoke last
	of   map[string]net.Conn // that named an id last
	all  []net.Conn
	mute bool // the processor does not answer for the gauges
	runs bool // it runs each req at once, unprinted
	once bool // the next tier resets a connection at its second call, unread
}

func newPeer(s *stage, name string) *peer {
	p := &peer{s: s, name: name, of: map[string]net.Conn{}}
	p.open("127.0.0.1:0")
	return p
}

func (p *peer) open(address string) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		p.s.t.Error(err)
		return
	}
	p.ln = ln
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			p.mu.Lock()
			p.all = append(p.all, c)
			p.mu.Unlock()
			go p.read(c)
		}
	}()
}

// bodies tells which commands carry one, and which of their words change from run to run.
var bodies = map[string]bool{"begin": true, "answer": true, "invoke": true}

func (p *peer) read(c net.Conn) {
	r := bufio.NewReader(c)
	for n := 0; ; n++ {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		p.mu.Lock()
		forgot := p.once && n > 0
		p.mu.Unlock()
		if forgot {
			_ = c.Close()
			return
		}
		words := strings.Fields(line)
		if words[0] == "usage" {
			p.mu.Lock()
			if !p.mute {
				fmt.Fprintf(c, "used %s 0.1 0 0.01 3\r\n", words[1])
			}
			p.mu.Unlock()
			continue
		}
		p.mu.Lock()
		if p.c = c; len(words) > 1 {
			p.of[words[1]] = c
		}
		p.mu.Unlock()
		if bodies[words[0]] {
			n, _ := strconv.Atoi(words[len(words)-1])
			body := make([]byte, n+2)
			if _, err := io.ReadFull(r, body); err != nil {
				return
			}
			words[len(words)-1] = quoted(string(body[:n]))
		}
		if words[0] == "begin" {
			p.s.know(words[1], true)
			if p.mu.Lock(); p.runs {
				p.s.n++
				fmt.Fprintf(c, "complete %d %s ok 1 2\r\nok\r\n", p.s.n, words[1])
			}
			served := p.runs
			p.mu.Unlock()
			if served {
				continue
			}
		} else if words[0] == "interrupt" {
			if begun, strange := p.s.know(words[1], false); strange {
				fmt.Fprintf(c, "reject interrupt %s\r\n", words[1])
				continue
			} else if !begun {
				continue // whether the req is known: said by silence
			}
		}
		if words[0] == "invoke" {
			words = slices.Delete(words, 2, 3) // the time-out
		}
		p.s.print(p.name, "%s", strings.Join(words, " "))
	}
}

func quoted(body string) string {
	if len(body) > 80 {
		return fmt.Sprintf("%q... of %d bytes", body[:8], len(body))
	}
	return strconv.Quote(body)
}

func (p *peer) write(text string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.c
	if word, _, _ := strings.Cut(text, " "); p.of[word] != nil {
		c = p.of[word]
	}
	if c == nil {
		p.s.print(p.name, "nobody has connected")
		return
	}
	_, _ = io.WriteString(c, text)
}

func (p *peer) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.all {
		_ = c.Close()
	}
	p.all = nil
}

// shut ends the connections and listens no more.
func (p *peer) shut() {
	_ = p.ln.Close()
	p.close()
}

// edgeNode is one connection of an edge node.
type edgeNode struct {
	c    net.Conn
	held bool // reads nothing
}

// usual is the usual fields of a req with others over them.
func usual(slot uint16, fields map[string]string) map[string]string {
	all := map[string]string{
		"REQUEST_METHOD": "POST", "SCRIPT_NAME": "/invoke/status", "HTTP_X_CALLER": "4",
		"HTTP_X_REQUEST_ID":    fmt.Sprintf("%016x", slot),
		"HTTP_X_REQUEST_START": strconv.FormatInt(time.Now().UnixMilli(), 10),
		"HTTP_X_COST_MS":       "12.50", "HTTP_X_MEMORY_KB": "24.5", "HTTP_X_RANK": "0.6250",
	}
	for k, v := range fields {
		all[k] = v
	}
	return all
}

// fastcgiRequest gives the records of a req; fields overwrite the usual ones, "-" leaves one out.
func fastcgiRequest(slot uint16, fields map[string]string) string {
	all := usual(slot, fields)
	delete(all, "secret") // of AJP
	body := all["body"]
	delete(all, "body")
	var params strings.Builder
	for k, v := range all {
		if v != "-" {
			params.WriteString(fake.FastCGIPair(k, v))
		}
	}
	return fake.FastCGIRequest(slot, params.String(), body)
}

// ajpRequest gives the packets of the same req over AJP.
func ajpRequest(slot uint16, fields map[string]string) string {
	all := usual(slot, fields)
	f := ajp.ForwardRequest{Path: all["SCRIPT_NAME"], Query: all["QUERY_STRING"], Secret: all["secret"], Body: []byte(all["body"])}
	for _, k := range slices.Sorted(maps.Keys(all)) {
		if name, ok := strings.CutPrefix(k, "HTTP_"); ok && all[k] != "-" {
			f.Headers = append(f.Headers, ajp.Header{Name: strings.ReplaceAll(name, "_", "-"), Value: all[k]})
		}
	}
	return string(ajp.AppendForward(nil, &f, ajp.DefaultPacketSize))
}

// readAJP prints each answer like those over FastCGI.
func (s *stage) readAJP(name string, slot uint16, c net.Conn) {
	p := ajp.NewClient(ajp.DefaultPacketSize)
	buf := make([]byte, 4<<10)
	for {
		n, err := c.Read(buf)
		if err != nil {
			s.print("edge "+name, "connection closed")
			return
		}
		if string(buf[:n]) == "AB\x00\x01\x09" {
			s.print("edge "+name, "%d: somebody is here", slot)
			continue
		}
		p.AwaitingResponse = true
		if err := p.Feed(buf[:n], func(a ajp.Reply) {
			if a.Kind != ajp.Response {
				return
			}
			words := []string{fmt.Sprintf("Status: %d %s", a.Status, statusText[a.Status])}
			a.Headers.Each(func(name, value []byte) {
				switch k := string(name); k {
				case "X-Load-Signal", "Retry-After-Ms":
					words = append(words, k)
				case "Retry-After", "Content-Length":
				default:
					words = append(words, k+": "+string(value))
				}
			})
			s.print("edge "+name, "%d ends with 0, %s, %s", slot, strings.Join(words, ", "), quoted(string(a.Body)))
		}); err != nil {
			s.print("edge "+name, "%d: %v", slot, err)
		}
	}
}

// edge is the connection of that name; over AJP there is one for each slot.
func (s *stage) edge(name string, slot uint16) *edgeNode {
	key, address := name, s.listen
	if s.ajp {
		key, address = fmt.Sprint(name, "/", slot), s.jp
	}
	e := s.edges[key]
	if e == nil {
		c, err := net.Dial("tcp", address)
		if err != nil {
			s.print("edge "+name, "refused")
			return &edgeNode{c: nil}
		}
		e = &edgeNode{c: c}
		s.edges[key] = e
		if s.ajp {
			go s.readAJP(name, slot, c)
		} else {
			go s.readEdge(name, c)
		}
	}
	return e
}

// readEdge prints each answer, its fields in order, and the end of the connection.
func (s *stage) readEdge(name string, c net.Conn) {
	out := map[uint16]string{}
	print := s.printer("edge " + name)
	r := bufio.NewReader(c)
	for {
		head := make([]byte, 8)
		if _, err := io.ReadFull(r, head); err != nil {
			print("connection closed")
			return
		}
		slot, content := binary.BigEndian.Uint16(head[2:]), make([]byte, binary.BigEndian.Uint16(head[4:]))
		_, _ = io.ReadFull(r, content)
		switch head[1] {
		case 6:
			out[slot] += string(content)
		case 3:
			fields, body, _ := strings.Cut(out[slot], "\r\n\r\n")
			delete(out, slot)
			words := strings.Split(fields, "\r\n")
			for i, w := range words { // their values hang on the moment
				if k, _, _ := strings.Cut(w, ": "); k == "Retry-After-Ms" || k == "X-Load-Signal" {
					words[i] = k
				}
			}
			print("%d ends with %d, %s, %s", slot, content[4], strings.Join(words, ", "), quoted(body))
		default:
			print("record %d: %s", head[1], hex.EncodeToString(content))
		}
	}
}

const testConfig = `{"name":"n3","listen":"%s","processor":"%s","control":"%s","backend":"%s","seed":"8c1f30d27a5be964",
"stop_ms":%s,"limits":{"cores":1.0,"memory_mb":%s,"sockets":%s},"settings":{"servers":2,"tickUs":1000,
"classes":[{"name":"status","credit":1,"giveUpUs":%s,"goalTimeUs":%s,"idempotency":"retryable"},
{"name":"file-claim","credit":3,"giveUpUs":1500000,"goalTimeUs":900000,"idempotency":"%s","windowUs":60000000}],
"tenants":[{"name":"north","quotaPerS":%s},{"name":"south","quotaPerS":50}],
"familyInfo":{"cores":2,"downstream":"tier","halt":"%s","keyKb":10,"memoryKb":100000,"runFactor":8,"senders":2,
"shareForUs":800000,"ownStats":["cpu_busy","runnable","mem_used","sockets"],"signal":"allowance","tellsGone":true},
"invariants":{"answerSlackUs":80000,"drainGraceUs":%s,"fallMultiple":8},
"limits":{"maxRetryAfterUs":1000000,"retryAfter":true}}}`

// newPeers has new stand-ins listen; their lines start with the word before their name.
func (s *stage) newPeers(word string) {
	s.processor, s.tier = newPeer(s, word+"processor"), newPeer(s, word+"tier")
	s.peers = append(s.peers, s.processor, s.tier)
	control, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		s.t.Fatal(err)
	}
	s.control = control
	s.t.Cleanup(func() { _ = control.Close() })
	print := s.printer(word + "control")
	go func() {
		buf, said := make([]byte, 100), ""
		for {
			n, _, err := control.ReadFrom(buf)
			if err != nil {
				return
			}
			if text := string(buf[:n]); text != said {
				said = text
				print("%s", text)
			}
		}
	}()
}

// newDisk has the next backend keep its store there.
func (s *stage) newDisk(d *fake.Disk) {
	hold := &sync.Mutex{}
	s.disk, s.hold = d, hold
	d.Slow = func(string, int) {
		hold.Lock() // while it stands still
		defer hold.Unlock()
	}
}

// dies has the backend be gone with all that was not on its disk, and another come up where it was.
func (s *stage) dies() {
	s.lives.Add(1)
	s.disk.CutPower()
	after := s.disk.AfterPowerLoss(rand.New(rand.NewPCG(1, 1)))
	s.leave()
	for _, p := range s.peers {
		p.shut()
	}
	for _, e := range s.edges {
		_ = e.c.Close()
	}
	s.mu.Lock()
	s.lines, s.n = nil, 0
	s.edges = map[string]*edgeNode{}
	s.mu.Unlock()
	s.newDisk(after)
	s.start(s.options)
}

// text is the configuration of the present stand-ins.
func (s *stage) text() []byte {
	option := func(k, missing string) string {
		if v, ok := s.options[k]; ok {
			return v
		}
		return missing
	}
	tier := s.tier.ln.Addr().String()
	if s.options["last"] != "" {
		tier = ""
	}
	return fmt.Appendf(nil, testConfig, s.listen, s.processor.ln.Addr(), s.control.LocalAddr(), tier,
		option("stop_ms", "3000"), option("memory_mb", "192"), option("sockets", "200"),
		option("timeout", "1500000"), option("target", "900000"), option("claim", "fragile"), option("north", "1000"), option("halt", "discard"), option("grace", "300000"))
}

func (s *stage) config() Config {
	cfg, err := Parse(s.text())
	if err != nil {
		s.t.Fatal(err)
	}
	return cfg
}

// start has the backend come up; options are stop_ms, sockets and "last" for the last tier.
func (s *stage) start(options map[string]string) {
	s.options = options
	if options["keep"] != "" && s.disk == nil {
		s.newDisk(fake.NewDisk())
		if err := wal.Init(s.disk, "n3", time.Duration(time.Now().UnixNano()), 1); err != nil {
			s.t.Fatal(err)
		}
	}
	s.newPeers("")
	var err error
	if s.listen, err = harness.FreeAddress(); err != nil {
		s.t.Fatal(err)
	}
	cfg := s.config()
	if s.disk != nil {
		cfg.Idempotency = IdempotencyConfig{Dir: s.t.TempDir(), Handlers: map[string][]KeyPart{"file-claim": {KeyPartBody}}, CommitInterval: time.Microsecond, Disk: s.disk}
	}
	if s.ajp = s.ajp || options["ajp"] != ""; s.ajp {
		cfg.AJP.Secret = options["secret"]
		if s.jp, err = harness.FreeAddress(); err != nil {
			s.t.Fatal(err)
		}
		cfg.AJP.Listen = s.jp
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.leave = cancel
	s.b = New(cfg, slog.New(slog.NewTextHandler(io.Discard, nil)))
	b, print := s.b, s.printer("backend")
	go func() { print("ended: %v", b.Serve(ctx)) }()
	s.t.Cleanup(func() {
		cancel()
		for _, p := range s.peers {
			p.shut()
		}
		for _, e := range s.edges {
			_ = e.c.Close()
		}
	})
}
