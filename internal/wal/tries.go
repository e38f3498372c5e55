package wal

import (
	"errors"
	"fmt"
	"frosthub/recovery"
	"strconv"
	"strings"
)

const (
	triesName = "reading" // how many starts in a row have not come to the end of the reading
	asideMark = ".aside"  // of files that were put aside
)

// BeginRead notes that a store is about to be read, and puts its records aside where too many processes in a row have died over that: then the
// store is as lost, and what stood in it is for a person to look at.
func BeginRead(d Disk) (aside bool, err error) {
	text, err := d.Read(triesName)
	tries := 0
	if err == nil {
		tries, _ = strconv.Atoi(strings.TrimSpace(string(text))) // what can't be read is a first try
	}
	if recovery.ShouldQuarantine(tries) {
		if err := putAside(d); err != nil {
			return false, err
		}
		aside, tries = true, 0
	}
	return aside, count(d, tries+1)
}

// count puts the number of tries down without waiting for the disk: it outlives the process, and one that a loss of power takes back is
// one more try.
func count(d Disk, tries int) error {
	f, err := d.Append(triesName, 0)
	if err != nil {
		return err
	}
	_, err = f.Write(fmt.Appendln(nil, tries))
	return errors.Join(err, f.Close())
}

// EndRead notes that a reading has come to its end, well or with a word on what is wrong.
func EndRead(d Disk) error { return d.Remove(triesName) }

// putAside gives the records and prints of a store other names.
func putAside(d Disk) error {
	names, err := d.Names()
	if err != nil {
		return err
	}
	for _, name := range names {
		_, isLog := numberOf(name, logMark)
		if _, isPrints := numberOf(name, printsMark); isLog || isPrints {
			if err := d.Rename(name, name+asideMark); err != nil {
				return err
			}
		}
	}
	return d.Sync()
}
