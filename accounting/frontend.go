package accounting

// Frontend is the way a request was received. The numbers are stored.
type Frontend uint8

// The front ends.
const (
	FastCGI Frontend = iota
	AJP
	FailedOver // taken over from another node, without a client connection; a retry of the request gets the response

	frontendCount = 3
)

// frontendNames are the names of the front ends in reports and metrics.
var frontendNames = [frontendCount]string{
	FastCGI:    "fastcgi",
	AJP:        "ajp",
	FailedOver: "taken-over",
}

// String returns the name of the front end, or "none" if it is not valid.
func (f Frontend) String() string {
	if f >= frontendCount {
		return "none"
	}
	return frontendNames[f]
}
