// Package codes judges the status codes of HTTP responses.
package codes

const (
	firstInterim = 100
	firstFinal   = 200
	lastFinal    = 599
)

// IsFinal reports whether a status is that of a final response. RFC 9110, section 15, has
// status codes from 100 to 599, of which those below 200 are interim.
func IsFinal(status int) bool { return status >= firstFinal && status <= lastFinal }

// IsInterim reports whether a status is that of an interim response.
func IsInterim(status int) bool { return status >= firstInterim && status < firstFinal }
