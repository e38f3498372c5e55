// Package control encodes the reports to the control plane, which sends no replies.
package control

// AppendReport appends a report on the readiness of the backend of the given name.
// The report is a datagram of three words, which the platform defines.
func AppendReport(b []byte, name string, ready bool) []byte {
	b = append(b, "lease "...)
	b = append(b, name...)
	b = append(b, ' ')
	if ready {
		return append(b, "Ready"...)
	}
	return append(b, "NotReady"...)
}
