package backend

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"frosthub/failover"
	"frosthub/internal/wal"
	"frosthub/recovery"
)

// peerStatesFileName is the file in the directory of the store that holds what this node remembers of the others.
const peerStatesFileName = "remembered.json"

// peerStateFile is what this node remembers of the others, and how far that is on disk and announced.
type peerStateFile struct {
	*recovery.PeerStates
	writing      bool
	nextTick     time.Duration
	announcedSeq uint64 // the last record of this node's log that was announced to the others
}

// readPeerStates returns what is remembered, which is nothing where the node is new.
func readPeerStates(dir string) (peerStateFile, error) {
	text, err := os.ReadFile(filepath.Join(dir, peerStatesFileName))
	if errors.Is(err, fs.ErrNotExist) {
		return peerStateFile{PeerStates: recovery.NewPeerStates(true)}, nil
	}
	states := recovery.NewPeerStates(false)
	if err == nil {
		err = json.Unmarshal(text, states)
	}
	if err != nil {
		return peerStateFile{}, fmt.Errorf("%s: %w", peerStatesFileName, err)
	}
	return peerStateFile{PeerStates: states}, nil
}

// writePeerStates writes what is remembered if that has changed. Its fences hold once it is on disk.
func (c *cluster) writePeerStates() {
	b := c.backend
	if c.peerStates.writing || !c.peerStates.Changed() {
		return
	}
	c.peerStates.writing = true
	text, err := json.Marshal(c.peerStates.PeerStates)
	dir := b.cfg.Idempotency.Dir
	written := fenceList(c.peerStates.Fences)
	go func() { // the disk may be slow
		if err == nil {
			err = wal.WriteFile(wal.DirDisk(dir), peerStatesFileName, text)
		}
		b.loop.Post(func() {
			c.peerStates.writing = false
			switch {
			case err != nil:
				b.logLimited("peer states not written", "reason", err)
			case c.node != nil:
				c.node.MarkFencesDurable(written)
			}
		})
	}()
}

// fenceList converts the fences that are remembered.
func fenceList(remembered map[string]uint64) (out []failover.Fence) {
	for name, incarnation := range remembered {
		out = append(out, failover.Fence{Node: name, Incarnation: incarnation})
	}
	return out
}
