package fake

import (
	"fmt"
	"strings"
)

// Request is a request as an edge node sends it.
type Request struct {
	ID        uint64
	Handler   string
	Caller    int   // number of the edge node that sends the request
	Start     int64 // time at which the edge node received it, in Unix milliseconds
	CostMS    float64
	Customer  string // empty: not sent
	CreatedAt int64  // time of its creation, which all attempts share, in Unix milliseconds; 0: not sent
	Body      string
}

// eachField calls put with each header field of the request.
func (r *Request) eachField(put func(name, value string)) {
	put("X-Request-Id", fmt.Sprintf("%016x", r.ID))
	put("X-Request-Start", fmt.Sprint(r.Start))
	put("X-Caller", fmt.Sprint(r.Caller))
	put("X-Cost-Ms", fmt.Sprintf("%.2f", max(0.01, r.CostMS)))
	put("X-Memory-Kb", "24.5")
	put("X-Rank", "0.6250")
	if r.Customer != "" {
		put("X-Customer", r.Customer)
	}
	if r.CreatedAt > 0 {
		put("X-First-Made", fmt.Sprint(r.CreatedAt))
	}
}

// FastCGI returns the FastCGI records of the request.
func (r *Request) FastCGI(slot uint16) string {
	var params strings.Builder
	params.WriteString(FastCGIPair("REQUEST_METHOD", "POST"))
	params.WriteString(FastCGIPair("SCRIPT_NAME", "/invoke/"+r.Handler))
	r.eachField(func(name, value string) {
		params.WriteString(FastCGIPair("HTTP_"+strings.ToUpper(strings.ReplaceAll(name, "-", "_")), value))
	})
	return FastCGIRequest(slot, params.String(), r.Body)
}
