package processor

import "strconv"

// AppendHello appends the command that begins a connection. The argument last is the
// sequence number of the last notice that was read on an earlier connection, or 0.
func AppendHello(b []byte, last uint64) []byte {
	b = append(b, "hello "...)
	b = strconv.AppendUint(b, last, 10)
	return appendTerminator(b)
}

// AppendBegin appends the command that starts a run of a request by a handler.
func AppendBegin(b []byte, id, handler string, body []byte) []byte {
	b = append(b, "begin "...)
	b = append(b, id...)
	b = append(b, ' ')
	b = append(b, handler...)
	return appendBody(b, body)
}

// AppendInterrupt appends the command that stops a run.
func AppendInterrupt(b []byte, id string) []byte {
	b = append(b, "interrupt "...)
	b = append(b, id...)
	return appendTerminator(b)
}

// AppendCallReply appends the command that passes the reply to a call of a run.
func AppendCallReply(b []byte, id string, body []byte) []byte {
	b = append(b, "answer "...)
	b = append(b, id...)
	return appendBody(b, body)
}

// AppendGaugeRequest appends the command that requests the gauges. The notice that
// answers it has the same tag.
func AppendGaugeRequest(b []byte, tag uint64) []byte {
	b = append(b, "usage "...)
	b = strconv.AppendUint(b, tag, 10)
	return appendTerminator(b)
}

// AppendCheck appends the command that runs a deep health check. The notice that
// answers it has the same tag.
func AppendCheck(b []byte, tag uint64) []byte {
	b = append(b, "trial "...)
	b = strconv.AppendUint(b, tag, 10)
	return appendTerminator(b)
}

// appendBody ends a line with the length of the body, and appends the body.
func appendBody(b, body []byte) []byte {
	b = append(b, ' ')
	b = strconv.AppendInt(b, int64(len(body)), 10)
	b = appendTerminator(b)
	b = append(b, body...)
	return appendTerminator(b)
}

func appendTerminator(b []byte) []byte { return append(b, "\r\n"...) }
