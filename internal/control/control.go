// Package control writes the reports to the control plane, which answers nothing.
package control

// AppendReport appends the report of a backend: one datagram of three words, which
// are those of the platform.
func AppendReport(b []byte, name string, ready bool) []byte {
	b = append(b, "lease "...)
	b = append(b, name...)
	b = append(b, ' ')
	if ready {
		return append(b, "Ready"...)
	}
	return append(b, "NotReady"...)
}
