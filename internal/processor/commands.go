package processor

import "strconv"

// AppendHello begins a connection: last is the number of the last notice that was
// read on an earlier one, 0 for none.
func AppendHello(b []byte, last uint64) []byte {
	b = append(b, "hello "...)
	b = strconv.AppendUint(b, last, 10)
	return appendTerminator(b)
}

// AppendBegin has a request run by a handler.
func AppendBegin(b []byte, id, handler string, body []byte) []byte {
	b = append(b, "begin "...)
	b = append(b, id...)
	b = append(b, ' ')
	b = append(b, handler...)
	return appendBody(b, body)
}

// AppendInterrupt has a run stopped.
func AppendInterrupt(b []byte, id string) []byte {
	b = append(b, "interrupt "...)
	b = append(b, id...)
	return appendTerminator(b)
}

// AppendCallReply passes the reply to its call to a run.
func AppendCallReply(b []byte, id string, body []byte) []byte {
	b = append(b, "answer "...)
	b = append(b, id...)
	return appendBody(b, body)
}

// AppendGaugeRequest asks for the gauges. The notice carries the tag.
func AppendGaugeRequest(b []byte, tag uint64) []byte {
	b = append(b, "usage "...)
	b = strconv.AppendUint(b, tag, 10)
	return appendTerminator(b)
}

// AppendCheck has the work of a deep health check done. The notice carries the tag.
func AppendCheck(b []byte, tag uint64) []byte {
	b = append(b, "trial "...)
	b = strconv.AppendUint(b, tag, 10)
	return appendTerminator(b)
}

// appendBody ends a line with the length of its body, and adds the body.
func appendBody(b, body []byte) []byte {
	b = append(b, ' ')
	b = strconv.AppendInt(b, int64(len(body)), 10)
	b = appendTerminator(b)
	b = append(b, body...)
	return appendTerminator(b)
}

func appendTerminator(b []byte) []byte { return append(b, "\r\n"...) }
