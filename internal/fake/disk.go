package fake

import (
	"errors"
	"io/fs"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"

	"frosthub/internal/wal"
)

// ErrPowerLost is returned by each operation of a Disk whose power is cut.
var ErrPowerLost = errors.New("the power is gone")

// SectorSize is the size in bytes of the unit that a disk writes completely or not at all.
const SectorSize = 512

// Disk is an in-memory wal.Disk that loses power after a number of operations. What it holds afterwards is drawn at random within what
// a file system may leave: of unsynced data any sectors and any length, of unsynced changes of names any prefix. Its methods except
// Put are safe for concurrent use.
type Disk struct {
	PowerBudget int                           // operations until the power is cut; negative: never
	Fail        func(what, name string) error // returns the error of an operation on a file; may be nil
	Slow        func(what string, number int) // called before each operation, without the lock; may be nil

	mu         sync.Mutex
	operations int
	files      map[string]*inode // as the process sees them
	synced     map[string]*inode // as last synced
	unsynced   []nameChange      // since the last sync
}

// nameChange is a change of the names of files.
type nameChange func(names map[string]*inode)

type inode struct {
	data   []byte // as the process sees it
	synced []byte // as last synced
}

// NewDisk returns an empty disk whose power stays on.
func NewDisk() *Disk {
	return &Disk{PowerBudget: -1, files: map[string]*inode{}, synced: map[string]*inode{}}
}

// CutPower cuts the power.
func (d *Disk) CutPower() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.PowerBudget = 0
}

// Operations returns the number of operations so far.
func (d *Disk) Operations() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.operations
}

// begin counts an operation and returns the error that it fails with; interrupted reports that the power is cut in the middle of it.
func (d *Disk) begin(what, name string) (interrupted bool, err error) {
	d.operations++
	if slow := d.Slow; slow != nil {
		d.mu.Unlock() // others may use the disk while this operation waits
		slow(what, d.operations)
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

// rename applies a change of names, which the next Sync makes durable.
func (d *Disk) rename(change nameChange) {
	change(d.files)
	d.unsynced = append(d.unsynced, change)
}

// Names returns the names of all files in order.
func (d *Disk) Names() ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Sorted(maps.Keys(d.files)), nil
}

// Read returns the content of a file.
func (d *Disk) Read(name string) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	file := d.files[name]
	if file == nil {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(file.data), nil
}

// Put sets the content of a file, and syncs it.
func (d *Disk) Put(name string, data []byte) {
	file := &inode{data: slices.Clone(data), synced: slices.Clone(data)}
	d.files[name] = file
	d.synced[name] = file
}

// OpenAppend opens a file for appending after size bytes. It creates the file if there is none.
func (d *Disk) OpenAppend(name string, size int64) (wal.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	interrupted, err := d.begin("open", name)
	if err != nil && !interrupted {
		return nil, err
	}
	file := d.files[name]
	if file == nil {
		file = &inode{}
		d.rename(func(names map[string]*inode) { names[name] = file })
	}
	if len(file.data) > int(size) {
		file.data = file.data[:size:size]
	}
	return &diskFile{disk: d, inode: file, name: name}, err
}

// Rename renames a file.
func (d *Disk) Rename(from, to string) error {
	return d.change("rename", to, func(names map[string]*inode) {
		if file := names[from]; file != nil {
			names[to] = file
			delete(names, from)
		}
	})
}

// Remove removes a file.
func (d *Disk) Remove(name string) error {
	return d.change("remove", name, func(names map[string]*inode) { delete(names, name) })
}

// change is an operation that changes names.
func (d *Disk) change(what, name string, change nameChange) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	interrupted, err := d.begin(what, name)
	if err == nil || interrupted {
		d.rename(change)
	}
	return err
}

// SyncDir makes the names of files durable.
func (d *Disk) SyncDir() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, err := d.begin("sync", ""); err != nil {
		return err
	}
	d.synced = maps.Clone(d.files)
	d.unsynced = nil
	return nil
}

// AfterPowerLoss returns the disk as it may be found when the power is back.
func (d *Disk) AfterPowerLoss(random *rand.Rand) *Disk {
	d.mu.Lock()
	defer d.mu.Unlock()
	after := NewDisk()
	names := maps.Clone(d.synced)
	for _, change := range d.unsynced[:random.IntN(len(d.unsynced)+1)] {
		change(names)
	}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		after.Put(name, names[name].afterPowerLoss(random))
	}
	return after
}

// afterPowerLoss draws what a loss of power leaves of a file.
func (f *inode) afterPowerLoss(random *rand.Rand) []byte {
	if slices.Equal(f.data, f.synced) {
		return f.synced
	}
	shorter := min(len(f.synced), len(f.data))
	longer := max(len(f.synced), len(f.data))
	left := make([]byte, shorter+random.IntN(longer-shorter+1))
	copy(left, f.synced)
	writtenShare := random.Float64() // of the sectors
	for start := 0; start < len(left) && start < len(f.data); start += SectorSize {
		end := min(start+SectorSize, len(left), len(f.data))
		if random.Float64() < writtenShare {
			copy(left[start:end], f.data[start:end])
		}
	}
	return left
}

// diskFile is an open file of a Disk.
type diskFile struct {
	disk  *Disk
	inode *inode
	name  string
}

// Write appends to the file.
func (f *diskFile) Write(data []byte) (int, error) {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	interrupted, err := f.disk.begin("write", f.name)
	if err == nil || interrupted {
		f.inode.data = append(f.inode.data, data...)
	}
	return len(data), err
}

// Sync makes the file's content durable.
func (f *diskFile) Sync() error {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	_, err := f.disk.begin("fsync", f.name)
	if err == nil {
		f.inode.synced = slices.Clone(f.inode.data)
	}
	return err
}

// Close does nothing.
func (f *diskFile) Close() error { return nil }
