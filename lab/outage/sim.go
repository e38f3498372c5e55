// Command outage plays the return of a fleet after a loss of power, many boxes in one process from a seed: the decision module and the way back are
// those of the product, processors, callers and the network are simple. It compares ways to come back, and plots the service over time.
package main

import (
	"container/heap"
	"frosthub/internal/harness"
	"frosthub/overload"
	"frosthub/recovery"
	"math/rand/v2"
	"slices"
	"time"
)

// way is how boxes come back.
type way uint8

const (
	asks    way = iota // the product's
	atOnce             // each trusts its disk and serves at once
	waits              // each waits for all others
	noLimit            // the product's, with all that comes run at once, and no decision module
)

var wayNames = [...]string{asks: "as built", atOnce: "at once", waits: "wait for all", noLimit: "no limits"}

// handler is a kind of req, as callers and boxes know it.
type handler struct {
	name    string
	share   float64
	worth   float64
	guarded bool
}

var handlers = []handler{{"status", 0.6, 1, false}, {"field-update", 0.2, 2, false}, {"file-claim", 0.2, 3, true}}

// config is one fleet and what happens to it.
type config struct {
	boxes   int
	never   float64 // share of the boxes that never come back
	times   float64 // the load at the return, times the usual one
	flood   time.Duration
	way     way
	seed    uint64
	heeds   bool // callers heed the time that they are told
	witness int
}

const (
	step     = 5 * time.Millisecond
	cores    = 2.0
	work     = 100 * time.Millisecond // mean, on one core
	usual    = 0.7                    // of the capacity
	timeout  = 3 * time.Second
	lossAt   = 5 * time.Second
	offFor   = 3 * time.Second // until the first returns
	spread   = 3 * time.Second // and the last
	reading  = 200 * time.Millisecond
	coldFor  = 5 * time.Second // in which a processor works at half its speed
	end      = 40 * time.Second
	bucket   = 200 * time.Millisecond
	again    = 50 * time.Millisecond  // until a refused caller tries elsewhere
	asksAnew = 500 * time.Millisecond // until one that gave up asks once more
	persists = 0.8                    // share of those that do
)

// req is one that somebody wants served.
type req struct {
	id     uint64
	h      int
	made   time.Duration
	left   time.Duration // work
	at     *box
	over   bool
	tries  int
	run    bool
	opened bool
}

type box struct {
	n       int
	back    time.Duration // when it comes back; 0 never
	up      bool
	since   time.Duration // that its processor is up
	way     *recovery.Node
	sure    bool
	ctl     *overload.Controller
	wake    time.Duration
	events  []overload.Event
	reqs    map[uint64]*req
	running []*req
	crowd   crowd         // noLimit: all that it has, on its cores at once
	each    time.Duration // noLimit: work that each of those got so far
	busy    float64
	sent    int // messages of its way back
}

// fleet is a run.
type fleet struct {
	config
	r *rand.Rand
	harness.EventQueue
	boxes  []*box
	ids    uint64
	served [][]float64 // by handler and bucket
	asked  int
	tried  int
}

func (f *fleet) span(most time.Duration) time.Duration {
	return time.Duration(f.r.Int64N(int64(most) + 1))
}

func settings() overload.Settings {
	var list []overload.Handler
	for _, h := range handlers {
		repeats := overload.Replayable
		if h.guarded {
			repeats = overload.Deduplicated
		}
		list = append(list, overload.Handler{
			Idempotency: repeats, Value: overload.Some(h.worth), ResponseTarget: overload.Some(time.Second),
			ClientTimeout: overload.Some(timeout),
		})
	}
	return overload.Settings{
		BatchInterval: time.Millisecond,
		Handlers:      list,
		Backend: overload.Backend{
			Cores: cores, MemoryKB: overload.Some(100000.0), RunMemoryFactor: 4, KeySizeKB: 10,
			Cancellation: overload.CancelDrop, Gauges: []overload.Gauge{overload.GaugeBusy, overload.GaugeRunnable},
		},
		Rules:  overload.Rules{CollapseFactor: overload.Some(8.0), DrainGrace: time.Second},
		Limits: overload.Limits{RetryAfter: true, MaxRetryAfter: overload.Some(time.Second)},
	}
}

// play runs a fleet.
func play(c config) *fleet {
	f := &fleet{config: c, r: rand.New(rand.NewPCG(c.seed, 26)), served: make([][]float64, len(handlers))}
	for h := range f.served {
		f.served[h] = make([]float64, end/bucket+1)
	}
	for i := range c.boxes {
		b := &box{n: i, back: lossAt + offFor + f.span(spread)}
		if f.r.Float64() < c.never {
			b.back = 0
		}
		f.boxes = append(f.boxes, b)
		f.start(b)
		b.sure = true
	}
	f.After(lossAt, func() {
		for _, b := range f.boxes {
			f.lose(b)
			if b.back > 0 {
				f.After(b.back-f.Now, func() { f.start(b); f.read(b) })
			}
		}
	})
	f.arrive()
	for at := time.Duration(0); at < end; at += step {
		for f.Next(at) {
		}
		f.Now = at
		for _, b := range f.boxes {
			if b.up {
				f.turn(b)
			}
		}
	}
	return f
}

func (f *fleet) start(b *box) {
	b.crowd, b.each = nil, 0
	b.up, b.since, b.reqs, b.running, b.events = true, f.Now, map[uint64]*req{}, nil, nil
	b.ctl, b.wake = overload.New(f.seed+uint64(b.n), settings(), f.Now), f.Now
	if f.Now == 0 {
		b.since = -coldFor
	}
}

func (f *fleet) lose(b *box) {
	b.up, b.sure, b.way = false, false, nil
	reqs := b.reqs
	b.reqs = nil
	for _, id := range sorted(reqs) {
		f.failed(reqs[id], again)
	}
}

func sorted(reqs map[uint64]*req) []uint64 {
	ids := make([]uint64, 0, len(reqs))
	for id := range reqs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// read begins the way back of a box.
func (f *fleet) read(b *box) {
	if f.way == atOnce || f.way == noLimit {
		f.After(f.span(reading), func() { b.sure = true })
		return
	}
	f.After(f.span(reading), func() {
		c := recovery.Config{RetryHorizon: time.Hour}
		n := f.witness
		if f.way == waits {
			n = f.boxes1()
			c.MajorityAfter, c.DegradeAfter = time.Hour, time.Hour
		}
		for k := range n {
			c.Others = append(c.Others, name((b.n+1+k)%f.config.boxes))
		}
		b.way = recovery.New(c, uint64(b.n)*77+f.seed)
		b.way.StartLoading()
		b.way.DiskLoaded(f.Now, recovery.DiskState{Incarnation: 2, Seq: 100})
		f.follow(b)
	})
}

func (f *fleet) boxes1() int { return f.config.boxes - 1 }

func name(n int) string { return string(rune(0x4e00 + n)) }
func number(s string) int {
	for _, r := range s {
		return int(r) - 0x4e00
	}
	return 0
}

// follow does what a box's way back wants: questions reach boxes that are back and have read their store.
func (f *fleet) follow(b *box) {
	way := b.way
	if way == nil {
		return
	}
	way.Tick(f.Now)
	for _, a := range way.Ready() {
		for _, to := range a.Query {
			b.sent++
			other := f.boxes[number(to)]
			f.After(f.span(2*time.Millisecond), func() {
				if !other.up || other.way == nil {
					return
				}
				other.sent++
				f.After(f.span(2*time.Millisecond), func() {
					if b.way == way {
						way.Receive(f.Now, to, recovery.Answer{PeerState: recovery.PeerState{Incarnation: 1, Seq: 100}})
						f.follow(b)
					}
				})
			})
		}
	}
	b.sure = way.Established()
	if !b.sure {
		f.After(max(step, way.NextDeadline()-f.Now), func() {
			if b.way == way && !b.sure {
				f.follow(b)
			}
		})
	}
}

// arrive has callers come by chance.
func (f *fleet) arrive() {
	rate := usual * float64(f.config.boxes) * cores / work.Seconds()
	if f.Now >= lossAt+offFor && f.Now < lossAt+offFor+f.flood {
		rate *= f.times
	}
	f.ask()
	f.After(time.Duration(f.r.ExpFloat64()/rate*float64(time.Second)), f.arrive)
}

func (f *fleet) ask() {
	f.asked++
	x, h := f.r.Float64(), 0
	for ; h < len(handlers)-1 && x >= handlers[h].share; h++ {
		x -= handlers[h].share
	}
	f.ids++
	r := &req{id: f.ids, h: h, made: f.Now, left: work/2 + f.span(work)}
	f.After(timeout, func() { f.givesUp(r) })
	f.try(r)
}

// try sends a req to any box; one that is not there refuses the connection.
func (f *fleet) try(r *req) {
	if r.over {
		return
	}
	f.tried++
	r.tries++
	b := f.boxes[f.r.IntN(len(f.boxes))]
	switch {
	case !b.up:
		f.failed(r, again)
	case handlers[r.h].guarded && !b.sure:
		f.failed(r, again)
	case f.way == noLimit:
		r.at = b
		b.reqs[r.id] = r
		r.left += b.each
		heap.Push(&b.crowd, r)
	default:
		r.at = b
		b.reqs[r.id] = r
		b.events = append(b.events, overload.Event{
			Kind: overload.Arrived, ID: r.id, Handler: r.h, Remaining: timeout - (f.Now - r.made),
			Hint: r.left, Size: 1, Caller: int(r.id % 50),
		})
	}
}

// failed has a refused caller try elsewhere after a while.
func (f *fleet) failed(r *req, after time.Duration) {
	r.at, r.run = nil, false
	if !r.over {
		f.After(after/2+f.span(after), func() { f.try(r) })
	}
}

func (f *fleet) givesUp(r *req) {
	if r.over {
		return
	}
	r.over = true
	if b := r.at; b != nil && b.reqs[r.id] == r {
		if f.way != noLimit { // else it runs on: nobody tells the processor
			b.events = append(b.events, overload.Event{Kind: overload.ClientGone, ID: r.id})
		}
	}
	if f.r.Float64() < persists {
		f.After(asksAnew/2+f.span(asksAnew), f.ask)
	}
}

// turn is a step of a box: its processor works, its module decides.
func (f *fleet) turn(b *box) {
	speed := 1.0
	if f.Now-b.since < coldFor {
		speed = 0.5
	}
	if f.way == noLimit {
		f.crowded(b, speed)
		return
	}
	if n := float64(len(b.running)); n > 0 {
		each := time.Duration(float64(step) * speed * min(1, cores/n))
		b.busy += min(1, n/cores)
		b.running = slices.DeleteFunc(b.running, func(r *req) bool {
			if r.left -= each; r.left > 0 {
				return false
			}
			if delete(b.reqs, r.id); !r.over {
				r.over = true
				f.served[r.h][f.Now/bucket]++
			}
			b.events = append(b.events, overload.Event{Kind: overload.Ended, ID: r.id, Outcome: overload.OK, Took: f.Now - r.made})
			return true
		})
	}
	if f.Now >= b.wake {
		b.wake = f.Now + 25*time.Millisecond
		b.events = append(b.events, overload.Event{Kind: overload.Timer, Gauges: []float64{b.busy / 5, float64(len(b.running))}})
		b.busy = 0
	}
	for len(b.events) > 0 {
		all := b.events
		b.events = nil
		for _, a := range b.ctl.Handle(f.Now, all) {
			f.act(b, &a)
		}
	}
}

// crowd are reqs that share cores evenly, by how much each must have got in all when it ends.
type crowd []*req

func (c crowd) Len() int           { return len(c) }
func (c crowd) Less(i, j int) bool { return c[i].left < c[j].left }
func (c crowd) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }
func (c *crowd) Push(x any)        { *c = append(*c, x.(*req)) }
func (c *crowd) Pop() any          { old := *c; x := old[len(old)-1]; *c = old[:len(old)-1]; return x }

// crowded is a step of a box that runs all that comes: however many there are, only those that end are looked at.
func (f *fleet) crowded(b *box, speed float64) {
	if len(b.crowd) == 0 {
		return
	}
	b.each += time.Duration(float64(step) * speed * min(1, cores/float64(len(b.crowd))))
	for len(b.crowd) > 0 && b.crowd[0].left <= b.each {
		r := heap.Pop(&b.crowd).(*req)
		if delete(b.reqs, r.id); !r.over {
			r.over = true
			f.served[r.h][f.Now/bucket]++
		}
	}
}

func (f *fleet) act(b *box, a *overload.Action) {
	r := b.reqs[a.ID]
	if a.Kind == overload.Wake {
		b.wake = min(max(a.At, f.Now+step), f.Now+25*time.Millisecond)
	}
	if r == nil {
		return
	}
	switch a.Kind {
	case overload.Start:
		r.run = true
		b.running = append(b.running, r)
	case overload.Reject, overload.Fail:
		if r.run {
			return
		}
		delete(b.reqs, r.id)
		wait := again
		if f.heeds {
			wait = max(wait, a.RetryAfter)
		}
		f.failed(r, wait)
	case overload.Cancel:
		b.running = slices.DeleteFunc(b.running, func(x *req) bool { return x == r })
		delete(b.reqs, r.id)
		b.events = append(b.events, overload.Event{Kind: overload.Ended, ID: r.id, Outcome: overload.Stopped})
	}
}

// result is what a run came to.
type result struct {
	before []float64       // served a second before the loss, by handler
	until  []time.Duration // from the first return until 0.9 of that, for a second on end; 0 never
	first  float64         // worth served in the first ten seconds after the first return, of ten seconds before the loss
	most   int             // messages of a box's way back
	mean   float64
	tries  float64 // a req
}

func (f *fleet) result() result {
	x := result{tries: float64(f.tried) / float64(f.asked)}
	back := lossAt + offFor
	sum := func(h int, from, to time.Duration) (n float64) {
		for i := from / bucket; i < to/bucket; i++ {
			n += f.served[h][i]
		}
		return n
	}
	worth, was := 0.0, 0.0
	for h := range handlers {
		x.before = append(x.before, sum(h, time.Second, lossAt)/(lossAt-time.Second).Seconds())
		until := time.Duration(0)
		for at := back; at+time.Second <= end; at += bucket {
			if sum(h, at, at+time.Second) >= 0.9*x.before[h] {
				until = at - back + time.Second
				break
			}
		}
		x.until = append(x.until, until)
		worth += handlers[h].worth * sum(h, back, back+10*time.Second)
		was += handlers[h].worth * x.before[h] * 10
	}
	x.first = worth / was
	for _, b := range f.boxes {
		x.most = max(x.most, b.sent)
		x.mean += float64(b.sent) / float64(len(f.boxes))
	}
	return x
}
