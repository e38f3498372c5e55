package overload

// memoryAdmitShare is the share of the memory that decisions may fill; the rest is for requests being read.
const memoryAdmitShare = 0.93

// memoryAccount keeps how much memory requests and the idempotency table take. It follows the wanted states: rules
// apply to what holds once the actions of a batch are carried out.
type memoryAccount struct {
	totalKB   float64
	keySizeKB float64            // of one entry in the idempotency table
	runFactor float64            // memory of a running request as a multiple of its size
	factors   [numStates]float64 // the same by state
	usedKB    float64
}

func newMemoryAccount(totalKB, runFactor, keySizeKB float64) memoryAccount {
	return memoryAccount{
		totalKB:   totalKB,
		keySizeKB: keySizeKB,
		runFactor: runFactor,
		factors: [numStates]float64{
			stateQueued:       1,
			stateCoalesced:    1,
			stateRunning:      runFactor,
			stateAwaitingCall: runFactor,
			stateCalling:      runFactor,
		},
	}
}

// of returns the memory of a request in a state.
func (m *memoryAccount) of(r *request, state requestState) float64 {
	return r.sizeKB * m.factors[state]
}

// overflows reports whether that much more would be too much.
func (m *memoryAccount) overflows(moreKB float64) bool {
	return m.usedKB+moreKB > memoryAdmitShare*m.totalKB
}

// underThreshold reports whether less is used than makes a node be under duress.
func (m *memoryAccount) underThreshold(moreKB float64) bool {
	return m.usedKB+moreKB < memoryThreshold*m.totalKB
}
