package fake

import (
	"errors"
	"frosthub/internal/wal"
	"io/fs"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
)

// ErrPowerLost is what a disk without power answers.
var ErrPowerLost = errors.New("the power is gone")

// Disk is a folder that loses power after so many operations. What it then still has is drawn from a seed, within what a file
// system may do: of what was not confirmed any sectors, any length, and of the changes of names as many as came first.
type Disk struct {
	PowerBudget int                           // operations until the power goes; under 0 it stays
	Fail        func(what, name string) error // an operation that is to fail; nil none
	Slow        func(what string, number int) // called before each
	mu          sync.Mutex
	done        int
	now         map[string]*inode // as the process sees it
	safe        map[string]*inode // as confirmed
	ops         []func(names map[string]*inode)
}

type inode struct {
	data, safe []byte // as the process sees it, as confirmed
}

const SectorSize = 512

// NewDisk returns an empty one.
func NewDisk() *Disk {
	return &Disk{PowerBudget: -1, now: map[string]*inode{}, safe: map[string]*inode{}}
}

// CutPower has the power go now.
func (d *Disk) CutPower() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.PowerBudget = 0
}

// Operations is how many operations it has seen.
func (d *Disk) Operations() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.done
}

// op counts one; dies tells that the power goes in its middle.
func (d *Disk) op(what, name string) (dies bool, err error) {
	d.done++
	if slow := d.Slow; slow != nil {
		d.mu.Unlock() // it may stand still while others look
		slow(what, d.done)
		d.mu.Lock()
	}
	if d.PowerBudget == 0 {
		return false, ErrPowerLost
	}
	if d.PowerBudget > 0 {
		d.PowerBudget--
		if d.PowerBudget == 0 {
			return true, ErrPowerLost
		}
	}
	if d.Fail != nil {
		return false, d.Fail(what, name)
	}
	return false, nil
}

// name changes what files there are, confirmed by the next Sync.
func (d *Disk) name(change func(names map[string]*inode)) {
	change(d.now)
	d.ops = append(d.ops, change)
}

// Names gives those of all files.
func (d *Disk) Names() ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Sorted(maps.Keys(d.now)), nil
}

// Read gives a file's content.
func (d *Disk) Read(name string) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := d.now[name]
	if f == nil {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(f.data), nil
}

// Put sets a file's content as if it had always been so.
func (d *Disk) Put(name string, data []byte) {
	f := &inode{data: slices.Clone(data), safe: slices.Clone(data)}
	d.now[name], d.safe[name] = f, f
}

// Append opens a file.
func (d *Disk) Append(name string, size int64) (wal.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	dies, err := d.op("open", name)
	if err != nil && !dies {
		return nil, err
	}
	f := d.now[name]
	if f == nil {
		f = &inode{}
		d.name(func(names map[string]*inode) { names[name] = f })
	}
	if len(f.data) > int(size) {
		f.data = f.data[:size:size]
	}
	return &diskFile{d, f, name}, err
}

// Rename gives a file another name.
func (d *Disk) Rename(from, to string) error {
	return d.change("rename", to, func(names map[string]*inode) {
		if f := names[from]; f != nil {
			names[to] = f
			delete(names, from)
		}
	})
}

// Remove removes one.
func (d *Disk) Remove(name string) error {
	return d.change("remove", name, func(names map[string]*inode) { delete(names, name) })
}

func (d *Disk) change(what, name string, change func(names map[string]*inode)) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	dies, err := d.op(what, name)
	if err == nil || dies {
		d.name(change)
	}
	return err
}

// Sync confirms the names.
func (d *Disk) Sync() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, err := d.op("sync", ""); err != nil {
		return err
	}
	d.safe, d.ops = maps.Clone(d.now), nil
	return nil
}

// AfterPowerLoss is the disk as it is found when the power is back.
func (d *Disk) AfterPowerLoss(r *rand.Rand) *Disk {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := NewDisk()
	names := maps.Clone(d.safe)
	for _, change := range d.ops[:r.IntN(len(d.ops)+1)] {
		change(names)
	}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		out.Put(name, names[name].after(r))
	}
	return out
}

func (f *inode) after(r *rand.Rand) []byte {
	if slices.Equal(f.data, f.safe) {
		return f.safe
	}
	least, most := len(f.safe), len(f.data)
	if least > most {
		least, most = most, least
	}
	out := make([]byte, least+r.IntN(most-least+1))
	copy(out, f.safe)
	share := r.Float64() // of the sectors that got there
	for at := 0; at < len(out) && at < len(f.data); at += SectorSize {
		if end := min(at+SectorSize, len(out), len(f.data)); r.Float64() < share {
			copy(out[at:end], f.data[at:end])
		}
	}
	return out
}

type diskFile struct {
	d    *Disk
	f    *inode
	name string
}

// Write writes on.
func (f *diskFile) Write(p []byte) (int, error) {
	f.d.mu.Lock()
	defer f.d.mu.Unlock()
	dies, err := f.d.op("write", f.name)
	if err == nil || dies {
		f.f.data = append(f.f.data, p...)
	}
	return len(p), err
}

// Sync confirms what was written.
func (f *diskFile) Sync() error {
	f.d.mu.Lock()
	defer f.d.mu.Unlock()
	_, err := f.d.op("fsync", f.name)
	if err == nil {
		f.f.safe = slices.Clone(f.f.data)
	}
	return err
}

// Close does nothing.
func (f *diskFile) Close() error { return nil }
