package backend

import (
	"bufio"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"io"
	"maps"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"frosthub/internal/ajp"
	"frosthub/internal/fake"
)

// defaultFields returns the fields of a valid request, overridden by the given fields.
func defaultFields(slot uint16, fields map[string]string) map[string]string {
	all := map[string]string{
		"REQUEST_METHOD":       "POST",
		"SCRIPT_NAME":          "/invoke/status",
		"HTTP_X_CALLER":        "4",
		"HTTP_X_REQUEST_ID":    fmt.Sprintf("%016x", slot),
		"HTTP_X_REQUEST_START": strconv.FormatInt(time.Now().UnixMilli(), 10),
		"HTTP_X_COST_MS":       "12.50",
		"HTTP_X_MEMORY_KB":     "24.5",
		"HTTP_X_RANK":          "0.6250",
	}
	maps.Copy(all, fields)
	return all
}

// fastcgiRequest returns the records of a request. The given fields override the default ones; "-" omits a field.
func fastcgiRequest(slot uint16, fields map[string]string) string {
	all := defaultFields(slot, fields)
	delete(all, "secret") // used only over AJP
	body := all["body"]
	delete(all, "body")
	var params strings.Builder
	for name, value := range all {
		if value != "-" {
			params.WriteString(fake.FastCGIPair(name, value))
		}
	}
	return fake.FastCGIRequest(slot, params.String(), body)
}

// ajpRequest returns the AJP packets of the request that fastcgiRequest encodes.
func ajpRequest(slot uint16, fields map[string]string) string {
	all := defaultFields(slot, fields)
	forward := ajp.ForwardRequest{
		Path:   all["SCRIPT_NAME"],
		Query:  all["QUERY_STRING"],
		Secret: all["secret"],
		Body:   []byte(all["body"]),
	}
	for _, param := range slices.Sorted(maps.Keys(all)) {
		if name, ok := strings.CutPrefix(param, "HTTP_"); ok && all[param] != "-" {
			header := ajp.Header{Name: strings.ReplaceAll(name, "_", "-"), Value: all[param]}
			forward.Headers = append(forward.Headers, header)
		}
	}
	return string(ajp.AppendForward(nil, &forward, ajp.DefaultPacketSize))
}

// clientSocket is a client connection whose responses are printed.
type clientSocket struct {
	conn net.Conn // nil if the connection was refused
}

// client returns the connection with the given name, and dials it on first use. Over AJP each slot has its own connection.
func (bed *testbed) client(name string, slot uint16) *clientSocket {
	key, address := name, bed.listenAddress
	if bed.useAJP {
		key, address = fmt.Sprint(name, "/", slot), bed.ajpAddress
	}
	if client := bed.clients[key]; client != nil {
		return client
	}
	conn, err := net.Dial("tcp", address)
	if err != nil {
		bed.print("edge "+name, "refused")
		return &clientSocket{}
	}
	client := &clientSocket{conn: conn}
	bed.clients[key] = client
	if bed.useAJP {
		go bed.readAJP(name, slot, conn)
	} else {
		go bed.readFastCGI(name, conn)
	}
	return client
}

// readFastCGI prints each response with its headers in order, and the end of the connection.
func (bed *testbed) readFastCGI(name string, conn net.Conn) {
	stdout := map[uint16]string{}
	print := bed.printer("edge " + name)
	reader := bufio.NewReader(conn)
	for {
		head := make([]byte, 8)
		if _, err := io.ReadFull(reader, head); err != nil {
			print("connection closed")
			return
		}
		slot := binary.BigEndian.Uint16(head[2:])
		content := make([]byte, binary.BigEndian.Uint16(head[4:]))
		_, _ = io.ReadFull(reader, content)
		switch head[1] {
		case 6:
			stdout[slot] += string(content)
		case 3:
			headers, body, _ := strings.Cut(stdout[slot], "\r\n\r\n")
			delete(stdout, slot)
			words := strings.Split(headers, "\r\n")
			for i, word := range words { // these values differ between runs
				if header, _, _ := strings.Cut(word, ": "); header == "Retry-After-Ms" || header == "X-Load-Signal" {
					words[i] = header
				}
			}
			print("%d ends with %d, %s, %s", slot, content[4], strings.Join(words, ", "), quoteBody(body))
		default:
			print("record %d: %s", head[1], hex.EncodeToString(content))
		}
	}
}

// cpong is the packet that answers a CPing packet.
const cpong = "AB\x00\x01\x09"

// readAJP prints each response in the format of readFastCGI.
func (bed *testbed) readAJP(name string, slot uint16, conn net.Conn) {
	parser := ajp.NewClient(ajp.DefaultPacketSize)
	buf := make([]byte, 4<<10)
	for {
		n, err := conn.Read(buf)
		if err != nil {
			bed.print("edge "+name, "connection closed")
			return
		}
		if string(buf[:n]) == cpong {
			bed.print("edge "+name, "%d: somebody is here", slot)
			continue
		}
		parser.AwaitingResponse = true
		err = parser.Feed(buf[:n], func(reply ajp.Reply) {
			if reply.Kind == ajp.Response {
				bed.print("edge "+name, "%d ends with 0, %s, %s", slot, ajpHeaders(reply), quoteBody(string(reply.Body)))
			}
		})
		if err != nil {
			bed.print("edge "+name, "%d: %v", slot, err)
		}
	}
}

// ajpHeaders returns the status and the headers of a reply in the format of readFastCGI.
func ajpHeaders(reply ajp.Reply) string {
	words := []string{fmt.Sprintf("Status: %d %s", reply.Status, statusText[reply.Status])}
	reply.Headers.Each(func(name, value []byte) {
		switch header := string(name); header {
		case "X-Load-Signal", "Retry-After-Ms":
			words = append(words, header)
		case "Retry-After", "Content-Length":
		default:
			words = append(words, header+": "+string(value))
		}
	})
	return strings.Join(words, ", ")
}
