package cli

import (
	"bufio"
	"fmt"
	"os"
	"strconv"
	"strings"

	"frosthub/accounting"
)

// tally holds the outcomes that callers recorded for their requests, by request id.
type tally map[uint64]accounting.Category

// tallyWords maps the words of a tally file to categories.
var tallyWords = map[string]accounting.Category{
	"served":  accounting.Served,
	"refused": accounting.Rejected,
	"failed":  accounting.Failed,
}

// readTally reads a tally from a file. Each line holds a request id in hexadecimal
// and an outcome. An empty path gives an empty tally.
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
			return nil, fmt.Errorf("%s:%d: invalid line, expected a request id in hexadecimal and served, refused or failed", path, number)
		}
		outcomes[id] = tallyWords[words[1]]
	}
	return outcomes, scanner.Err()
}

// settle moves each request of unknown outcome to the category that the tally gives
// for it. It lists the ids of those that are not in the tally.
func (n *nodeFigures) settle(outcomes tally) {
	for i := range n.Report.Incarnations {
		incarnation := &n.Report.Incarnations[i]
		n.OutcomeUnknown += incarnation.Uncertain
		for _, id := range incarnation.UncertainIDs {
			category, ok := outcomes[id]
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
