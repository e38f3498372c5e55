package harness

import (
	"errors"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"frosthub/internal/fake"
)

// Names of the files in which a program built with the tag powerloss records the durable length of each file and the name changes that
// are not durable yet.
const (
	durablePrefix = ".durable."
	pendingName   = ".pending"
)

// zeroSectorOdds is the reciprocal of the share of sectors beyond the durable part of a file that read as zeros.
const zeroSectorOdds = 3

// CutPower reduces the directory of a killed process to a random state that a power loss at that moment could have left. Each file keeps
// its durable part and a random length of the rest, in which some sectors may not have been written. Of the name changes that were not
// durable, any prefix remains. The process must be built with the tag powerloss.
func CutPower(dir string, random *rand.Rand) error {
	d := crashedDir(dir)
	if err := d.undoNameChanges(random); err != nil {
		return fmt.Errorf("undoing name changes: %w", err)
	}
	files, err := os.ReadDir(dir)
	if err != nil {
		return err
	}
	for _, file := range files {
		if strings.HasPrefix(file.Name(), ".") {
			continue
		}
		if err := d.truncateFile(file.Name(), random); err != nil {
			return fmt.Errorf("truncating %s: %w", file.Name(), err)
		}
	}
	return nil
}

// crashedDir is the directory of a killed process.
type crashedDir string

func (d crashedDir) path(name string) string { return filepath.Join(string(d), name) }

// truncateFile reduces a file to its durable part and a random length of the rest, with random sectors set to zeros.
func (d crashedDir) truncateFile(name string, random *rand.Rand) error {
	text, err := os.ReadFile(d.path(durablePrefix + name))
	if errors.Is(err, fs.ErrNotExist) {
		return nil // an earlier program wrote the file, and this one did not
	}
	if err != nil {
		return err
	}
	durable, err := strconv.ParseInt(string(text), 10, 64)
	if err != nil {
		return err
	}
	data, err := os.ReadFile(d.path(name))
	if err != nil || int64(len(data)) <= durable {
		return err
	}
	data = data[:durable+random.Int64N(int64(len(data))-durable+1)]
	for start := durable; start < int64(len(data)); {
		end := min((start/fake.SectorSize+1)*fake.SectorSize, int64(len(data)))
		if random.IntN(zeroSectorOdds) == 0 {
			clear(data[start:end])
		}
		start = end
	}
	return os.WriteFile(d.path(name), data, 0o600)
}

// undoNameChanges undoes the last name changes that were not durable. Their number is drawn at random.
func (d crashedDir) undoNameChanges(random *rand.Rand) error {
	text, err := os.ReadFile(d.path(pendingName))
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	changes := strings.Split(strings.TrimSuffix(string(text), "\n"), "\n")
	for i := len(changes) - 1; i >= random.IntN(len(changes)+1) && err == nil; i-- {
		err = d.undo(strings.Fields(changes[i]))
	}
	return errors.Join(err, os.Remove(d.path(pendingName)))
}

// undo undoes one name change:
//
//	create NAME
//	rename FROM TO BACKUP    BACKUP is the name that the replaced file was kept under, or -
//	remove NAME BACKUP
func (d crashedDir) undo(change []string) error {
	switch {
	case len(change) == 2 && change[0] == "create":
		return errors.Join(ignoreMissing(os.Remove(d.path(change[1]))), ignoreMissing(os.Remove(d.path(durablePrefix+change[1]))))
	case len(change) == 4 && change[0] == "rename":
		var err error
		from, to, backup := change[1], change[2], change[3]
		if _, missing := os.Stat(d.path(to)); missing == nil {
			err = d.rename(to, from)
		}
		if backup != "-" {
			err = errors.Join(err, d.rename(backup, to))
		}
		return err
	case len(change) == 3 && change[0] == "remove":
		return d.rename(change[2], change[1])
	}
	return nil
}

// rename renames a file and the record of its durable part, as far as they exist.
func (d crashedDir) rename(from, to string) error {
	return errors.Join(
		ignoreMissing(os.Rename(d.path(from), d.path(to))),
		ignoreMissing(os.Rename(d.path(durablePrefix+from), d.path(durablePrefix+to))),
	)
}

func ignoreMissing(err error) error {
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	return err
}
