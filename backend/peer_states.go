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

// peerStatesFileName is the file in the store's directory that holds the recorded states of the peers.
const peerStatesFileName = "remembered.json"

// peerStateFile holds the recorded states of the peers, and the progress of writing them and of announcing this node's
// log.
type peerStateFile struct {
	*recovery.PeerStates
	writing      bool
	nextTick     time.Duration
	announcedSeq uint64 // sequence number of this node's last announced log record
}

// readPeerStates reads the recorded states of the peers. They are empty if the node is new.
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
		return peerStateFile{}, fmt.Errorf("read %s: %w", peerStatesFileName, err)
	}
	return peerStateFile{PeerStates: states}, nil
}

// writePeerStates writes the recorded states of the peers if they have changed. Their fences take effect once they are
// on disk.
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
				b.logLimited("writing peer states failed", "reason", err)
			case c.node != nil:
				c.node.MarkFencesDurable(written)
			}
		})
	}()
}

// fenceList converts recorded fences, incarnations by node name, to a list.
func fenceList(recorded map[string]uint64) (out []failover.Fence) {
	for name, incarnation := range recorded {
		out = append(out, failover.Fence{Node: name, Incarnation: incarnation})
	}
	return out
}
