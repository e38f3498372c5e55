// Package control writes the reports to the control plane. It answers nothing, so there is nothing to parse.
package control

// AppendReport adds the report of a backend: one datagram of three words.
func AppendReport(b []byte, name string, ready bool) []byte {
	b = append(append(append(b, "lease "...), name...), ' ')
	if ready {
		return append(b, "Ready"...)
	}
	return append(b, "NotReady"...)
}
