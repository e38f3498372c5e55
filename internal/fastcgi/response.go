package fastcgi

// knownValues are the replies to queries for values, by name.
var knownValues = map[string]string{
	"FCGI_MAX_CONNS":  "512",
	"FCGI_MAX_REQS":   "16384", // 32 requests on each of 512 connections
	"FCGI_MPXS_CONNS": "1",     // requests are multiplexed
}

// AppendStdout appends a response, or part of one, in as many records as needed.
func AppendStdout(b []byte, requestID uint16, content []byte) []byte {
	for len(content) > 0 {
		n := min(len(content), maxContentSize)
		b = appendHeader(b, typeStdout, requestID, n)
		b = append(b, content[:n]...)
		content = content[n:]
	}
	return b
}

// AppendEnd appends the records that end a response with a protocol status.
func AppendEnd(b []byte, requestID uint16, status byte) []byte {
	if status == StatusComplete {
		b = appendHeader(b, typeStdout, requestID, 0) // end of the stream
	}
	b = appendHeader(b, typeEndRequest, requestID, headerSize)
	b = append(b, 0, 0, 0, 0) // application status
	return append(b, status, 0, 0, 0)
}

// appendValuesResult appends the reply to a query for values. It has each known name
// once.
func appendValuesResult(b, query []byte) []byte {
	var content []byte
	answered := map[string]bool{}
	EachParam(query, func(name, _ []byte) {
		value, ok := knownValues[string(name)]
		if !ok || answered[string(name)] {
			return
		}
		answered[string(name)] = true
		content = append(content, byte(len(name)), byte(len(value)))
		content = append(content, name...)
		content = append(content, value...)
	})
	b = appendHeader(b, typeGetValuesResult, 0, len(content))
	return append(b, content...)
}

// appendUnknownType appends the reply to a record of an unknown type.
func appendUnknownType(b []byte, recordType byte) []byte {
	content := []byte{recordType, 0, 0, 0, 0, 0, 0, 0}
	b = appendHeader(b, typeUnknownType, 0, len(content))
	return append(b, content...)
}

func appendHeader(b []byte, recordType byte, requestID uint16, contentLength int) []byte {
	const (
		paddingLength = 0
		reserved      = 0
	)
	return append(b,
		protocolVersion, recordType,
		byte(requestID>>8), byte(requestID),
		byte(contentLength>>8), byte(contentLength),
		paddingLength, reserved)
}
