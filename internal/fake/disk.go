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

// ErrPowerLost is returned by the operations of a Disk after its power was cut.
var ErrPowerLost = errors.New("simulated disk has lost power")

// SectorSize is the number of bytes that a disk writes atomically.
const SectorSize = 512

// Disk is an in-memory wal.Disk that loses power after a number of operations. Its content afterwards is a random one of the states that
// a file system may leave: any sectors and any length of unsynced data, and any prefix of the unsynced name changes. Its methods except
// Put are safe for concurrent use.
type Disk struct {
	PowerBudget     int                                // number of operations until the power is cut; negative: never
	OperationError  func(operation, name string) error // returns the error of an operation on a file; may be nil
	BeforeOperation func(operation string, number int) // called before each operation, without the lock; may be nil

	mu         sync.Mutex
	operations int
	files      map[string]*inode // current files
	synced     map[string]*inode // files after the last directory sync
	unsynced   []nameChange      // name changes since the last directory sync
}

// nameChange creates, renames or removes a file name.
type nameChange func(names map[string]*inode)

type inode struct {
	data   []byte // current content
	synced []byte // content after the last sync
}

// NewDisk returns an empty disk without a limit on operations.
func NewDisk() *Disk {
	return &Disk{PowerBudget: -1, files: map[string]*inode{}, synced: map[string]*inode{}}
}

// CutPower cuts the power: all later operations fail with ErrPowerLost.
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

// beginOperation counts an operation and returns the error that it fails with. interrupted reports that the power is cut during the
// operation. The caller holds the mutex.
func (d *Disk) beginOperation(operation, name string) (interrupted bool, err error) {
	d.operations++
	if slow := d.BeforeOperation; slow != nil {
		d.mu.Unlock() // other operations may proceed while this one waits
		slow(operation, d.operations)
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
	if d.OperationError != nil {
		return false, d.OperationError(operation, name)
	}
	return false, nil
}

// applyNameChange applies a name change, which the next SyncDir makes durable.
func (d *Disk) applyNameChange(change nameChange) {
	change(d.files)
	d.unsynced = append(d.unsynced, change)
}

// Names returns the sorted names of all files.
func (d *Disk) Names() ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Sorted(maps.Keys(d.files)), nil
}

// Read returns the content of a file, or fs.ErrNotExist.
func (d *Disk) Read(name string) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	file := d.files[name]
	if file == nil {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(file.data), nil
}

// Put sets the content of a file and makes it durable.
func (d *Disk) Put(name string, data []byte) {
	file := &inode{data: slices.Clone(data), synced: slices.Clone(data)}
	d.files[name] = file
	d.synced[name] = file
}

// OpenAppend truncates a file to size bytes and opens it for appending. It creates the file if it does not exist.
func (d *Disk) OpenAppend(name string, size int64) (wal.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	interrupted, err := d.beginOperation("open", name)
	if err != nil && !interrupted {
		return nil, err
	}
	file := d.files[name]
	if file == nil {
		file = &inode{}
		d.applyNameChange(func(names map[string]*inode) { names[name] = file })
	}
	if len(file.data) > int(size) {
		file.data = file.data[:size:size]
	}
	return &diskFile{disk: d, inode: file, name: name}, err
}

// Rename renames a file.
func (d *Disk) Rename(from, to string) error {
	return d.changeNames("rename", to, func(names map[string]*inode) {
		if file := names[from]; file != nil {
			names[to] = file
			delete(names, from)
		}
	})
}

// Remove removes a file.
func (d *Disk) Remove(name string) error {
	return d.changeNames("remove", name, func(names map[string]*inode) { delete(names, name) })
}

// changeNames performs an operation that changes names.
func (d *Disk) changeNames(operation, name string, change nameChange) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	interrupted, err := d.beginOperation(operation, name)
	if err == nil || interrupted {
		d.applyNameChange(change)
	}
	return err
}

// SyncDir makes all name changes durable.
func (d *Disk) SyncDir() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, err := d.beginOperation("sync", ""); err != nil {
		return err
	}
	d.synced = maps.Clone(d.files)
	d.unsynced = nil
	return nil
}

// AfterPowerLoss returns a disk with a random state that a power loss could have left.
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

// afterPowerLoss returns a random content that a power loss could leave of a file.
func (f *inode) afterPowerLoss(random *rand.Rand) []byte {
	if slices.Equal(f.data, f.synced) {
		return f.synced
	}
	shorter := min(len(f.synced), len(f.data))
	longer := max(len(f.synced), len(f.data))
	remaining := make([]byte, shorter+random.IntN(longer-shorter+1))
	copy(remaining, f.synced)
	writtenShare := random.Float64() // mean share of the sectors that were written
	for start := 0; start < len(remaining) && start < len(f.data); start += SectorSize {
		end := min(start+SectorSize, len(remaining), len(f.data))
		if random.Float64() < writtenShare {
			copy(remaining[start:end], f.data[start:end])
		}
	}
	return remaining
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
	interrupted, err := f.disk.beginOperation("write", f.name)
	if err == nil || interrupted {
		f.inode.data = append(f.inode.data, data...)
	}
	return len(data), err
}

// Sync makes the file's content durable.
func (f *diskFile) Sync() error {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	_, err := f.disk.beginOperation("fsync", f.name)
	if err == nil {
		f.inode.synced = slices.Clone(f.inode.data)
	}
	return err
}

// Close does nothing; unsynced data stays unsynced.
func (f *diskFile) Close() error { return nil }
