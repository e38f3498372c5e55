package harness

import (
	"errors"
	"frosthub/internal/fake"
	"io/fs"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// Names as a box built with the tag powerloss notes them beside its files.
const (
	durableMark = ".durable."
	pendingName = ".pending"
)

// CutPower leaves of the folder of a box that was killed what a loss of power in that moment could have left: of each file what was confirmed
// and some of the rest, whole sectors of it perhaps never written, and some of the changes of names that were not confirmed, in their order.
func CutPower(dir string, r *rand.Rand) error {
	at := func(name string) string { return filepath.Join(dir, name) }
	if err := undoNames(at, r); err != nil {
		return err
	}
	all, err := os.ReadDir(dir)
	if err != nil {
		return err
	}
	for _, e := range all {
		if strings.HasPrefix(e.Name(), ".") {
			continue
		}
		text, err := os.ReadFile(at(durableMark + e.Name()))
		if errors.Is(err, fs.ErrNotExist) {
			continue // made before, and never written by this build
		}
		durable, err2 := strconv.ParseInt(string(text), 10, 64)
		if err := errors.Join(err, err2); err != nil {
			return err
		}
		if err := cutFile(at(e.Name()), durable, r); err != nil {
			return err
		}
	}
	return nil
}

func cutFile(path string, durable int64, r *rand.Rand) error {
	data, err := os.ReadFile(path)
	if err != nil || int64(len(data)) <= durable {
		return err
	}
	data = data[:durable+r.Int64N(int64(len(data))-durable+1)]
	for from := durable; from < int64(len(data)); { // each sector beyond was written or not
		to := min((from/fake.SectorSize+1)*fake.SectorSize, int64(len(data)))
		if r.IntN(3) == 0 {
			clear(data[from:to])
		}
		from = to
	}
	return os.WriteFile(path, data, 0o600)
}

// undoNames takes back the last of the changes that were not confirmed.
func undoNames(at func(string) string, r *rand.Rand) error {
	text, err := os.ReadFile(at(pendingName))
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	lines := strings.Split(strings.TrimSuffix(string(text), "\n"), "\n")
	move := func(from, to string) error {
		return errors.Join(ignoreMissing(os.Rename(at(from), at(to))), ignoreMissing(os.Rename(at(durableMark+from), at(durableMark+to))))
	}
	for i := len(lines) - 1; i >= r.IntN(len(lines)+1) && err == nil; i-- {
		switch w := strings.Fields(lines[i]); {
		case len(w) == 2 && w[0] == "create":
			err = errors.Join(ignoreMissing(os.Remove(at(w[1]))), ignoreMissing(os.Remove(at(durableMark+w[1]))))
		case len(w) == 4 && w[0] == "rename":
			if _, missing := os.Stat(at(w[2])); missing == nil {
				err = move(w[2], w[1])
			}
			if w[3] != "-" {
				err = errors.Join(err, move(w[3], w[2]))
			}
		case len(w) == 3 && w[0] == "remove":
			err = move(w[2], w[1])
		}
	}
	return errors.Join(err, os.Remove(at(pendingName)))
}

func ignoreMissing(err error) error {
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	return err
}
