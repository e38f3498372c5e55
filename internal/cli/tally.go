package cli

import (
	"bufio"
	"fmt"
	"os"
	"strconv"
	"strings"

	"frosthub/accounting"
)

// tally is what callers know about the outcome of their requests, by id.
type tally map[uint64]accounting.Category

// tallyWords are the outcomes as they stand in a tally file.
var tallyWords = map[string]accounting.Category{
	"served":  accounting.Served,
	"refused": accounting.Rejected,
	"failed":  accounting.Failed,
}

// readTally reads a tally from a file of lines of an id and an outcome. An empty
// path is an empty tally.
func readTally(path string) (tally, error) {
	if path == "" {
		return nil, nil
	}
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	outcomes := tally{}
	scanner := bufio.NewScanner(file)
	for number := 1; scanner.Scan(); number++ {
		words := strings.Fields(scanner.Text())
		if len(words) == 0 {
			continue
		}
		id, err := strconv.ParseUint(words[0], 16, 64)
		if err != nil || len(words) != 2 || tallyWords[words[1]] == 0 {
			return nil, fmt.Errorf("%s:%d: not understood, expected an id in hexadecimal and served, refused or failed", path, number)
		}
		outcomes[id] = tallyWords[words[1]]
	}
	return outcomes, scanner.Err()
}

// settle moves the uncertain requests of a report that the tally knows to the
// category it gives, and lists the others.
func (n *nodeFigures) settle(known tally) {
	for i := range n.Report.Incarnations {
		incarnation := &n.Report.Incarnations[i]
		n.Uncertain += incarnation.Uncertain
		for _, id := range incarnation.UncertainIDs {
			category, ok := known[id]
			if !ok {
				n.UnsettledIDs = append(n.UnsettledIDs, fmt.Sprintf("%016x", id))
				continue
			}
			n.Settled++
			incarnation.Counts = incarnation.Reclassified(category)
			n.Report.Total = n.Report.Total.Reclassified(category)
		}
	}
}
