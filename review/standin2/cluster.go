//go:build review

package standin2

import (
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// Cluster is a cluster of nodes, each with a processor of its own, in which every link between two nodes is a proxy that can be cut.
type Cluster struct {
	Nodes      []*Node
	Processors []*Processor
	links      map[[2]int]*peerProxy
}

// NewCluster creates the stores and the files of a cluster of nodes. directives are further lines of the operator's file; processor
// returns the processor of a node.
func NewCluster(dir string, size int, settings Object, directives string, processor func(index int) *Processor) *Cluster {
	c := &Cluster{links: map[[2]int]*peerProxy{}}
	var peerListen []string
	for range size {
		peerListen = append(peerListen, FreeAddress())
	}
	for i := range size {
		name := fmt.Sprintf("n%d", i+1)
		home := filepath.Join(dir, name)
		store := filepath.Join(home, "keep")
		if out, err := Command("keep", "init", "--box", name, store); err != nil {
			Fatal(fmt.Errorf("keep init: %w: %s", err, out))
		}
		var file strings.Builder
		fmt.Fprintf(&file, "keep dir %s\n%s\ncluster name north\ncluster listen %s\ncluster promise yes\n", store, directives, peerListen[i])
		for j := range size {
			address := peerListen[j]
			if i != j {
				link := &peerProxy{target: peerListen[j]}
				c.links[[2]int{i, j}] = link
				address = link.listen()
			}
			fmt.Fprintf(&file, "cluster member n%d %s zone=z%d\n", j+1, address, j+1)
		}
		p := processor(i)
		node := &Node{Dir: home, Listen: FreeAddress(), Operator: file.String()}
		node.Platform = Platform(name, node.Listen, p.Listen(), "", settings)
		c.Nodes = append(c.Nodes, node)
		c.Processors = append(c.Processors, p)
	}
	return c
}

// Start starts all nodes and waits until each of them has joined.
func (c *Cluster) Start() {
	for _, node := range c.Nodes {
		node.Launch()
	}
	for _, node := range c.Nodes {
		deadline := time.Now().Add(20 * time.Second)
		for !strings.Contains(node.Log(), "cluster member started") {
			if time.Now().After(deadline) {
				Fatal(fmt.Errorf("a node has not joined: %s", node.Log()))
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(1500 * time.Millisecond)
}

// Stop ends all nodes.
func (c *Cluster) Stop() {
	var all sync.WaitGroup
	for _, node := range c.Nodes {
		all.Go(node.Stop)
	}
	all.Wait()
}

// CutOff cuts a node off from all others, or ends that.
func (c *Cluster) CutOff(index int, cut bool) {
	for pair, link := range c.links {
		if pair[0] == index || pair[1] == index {
			link.setCut(cut)
		}
	}
}

// MkdirTemp creates a temporary folder.
func MkdirTemp(name string) string {
	dir, err := os.MkdirTemp("", name)
	if err != nil {
		Fatal(err)
	}
	return dir
}

// peerProxy is the link from one node to another. While it is cut, connections are accepted and nothing passes.
type peerProxy struct {
	target string
	mu     sync.Mutex
	cut    bool
	conns  map[net.Conn]struct{}
}

func (p *peerProxy) listen() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		Fatal(err)
	}
	p.conns = map[net.Conn]struct{}{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.forward(conn)
		}
	}()
	return listener.Addr().String()
}

func (p *peerProxy) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
	if !cut { // what was held back in the meantime is lost with its connection
		for conn := range p.conns {
			_ = conn.Close()
		}
	}
}

func (p *peerProxy) isCut() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut
}

func (p *peerProxy) forward(from net.Conn) {
	p.mu.Lock()
	p.conns[from] = struct{}{}
	p.mu.Unlock()
	defer func() {
		_ = from.Close()
		p.mu.Lock()
		delete(p.conns, from)
		p.mu.Unlock()
	}()
	if p.isCut() {
		_, _ = io.Copy(io.Discard, from)
		return
	}
	to, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = to.Close() }()
	go func() {
		_, _ = io.Copy(io.Discard, to)
		_ = from.Close()
	}()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		if p.isCut() {
			continue
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}
