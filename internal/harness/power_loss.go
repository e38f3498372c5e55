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

// Names of the files in which a program built with the tag powerloss records what is not durable yet.
const (
	durablePrefix = ".durable."
	pendingName   = ".pending"
)

// zeroSectorOdds is one in how many sectors beyond the durable part of a file reads as zeros.
const zeroSectorOdds = 3

// CutPower reduces the directory of a killed process to what a loss of power in that moment could have left, drawn at random: of each file
// its durable part and some of the rest, of which sectors may never have been written, and of the changes of names that were not
// durable any prefix. The process must be built with the tag powerloss.
func CutPower(dir string, random *rand.Rand) error {
	d := crashedDir(dir)
	if err := d.undoNameChanges(random); err != nil {
		return fmt.Errorf("undoing changes of names: %w", err)
	}
	files, err := os.ReadDir(dir)
	if err != nil {
		return err
	}
	for _, file := range files {
		if strings.HasPrefix(file.Name(), ".") {
			continue
		}
		if err := d.cutFile(file.Name(), random); err != nil {
			return fmt.Errorf("cutting %s: %w", file.Name(), err)
		}
	}
	return nil
}

// crashedDir is the directory of a killed process.
type crashedDir string

func (d crashedDir) path(name string) string { return filepath.Join(string(d), name) }

// cutFile draws what is left of a file.
func (d crashedDir) cutFile(name string, random *rand.Rand) error {
	text, err := os.ReadFile(d.path(durablePrefix + name))
	if errors.Is(err, fs.ErrNotExist) {
		return nil // written by another program before, and not by this one
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

// undoNameChanges undoes the last of the changes of names that were not durable, as many as are drawn.
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

// undo undoes one change of names:
//
//	create NAME
//	rename FROM TO BACKUP    BACKUP is where a replaced file was kept, or -
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

// rename renames a file with the record of its durable part, where they exist.
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
