package accounting

// Frontend is the way a request came in. The numbers are stored.
type Frontend uint8

// The front ends.
const (
	FastCGI Frontend = iota
	AJP
	FailedOver // from another node: no client connection waits, the response is for whoever retries the request

	frontendCount = 3
)

// frontendNames are the words of the front ends in reports and metrics.
var frontendNames = [frontendCount]string{
	FastCGI:    "fastcgi",
	AJP:        "ajp",
	FailedOver: "taken-over",
}

// String returns the front end's word.
func (f Frontend) String() string {
	if f >= frontendCount {
		return "none"
	}
	return frontendNames[f]
}
