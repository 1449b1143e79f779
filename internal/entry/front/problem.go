package front

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"damaskcrank.example/damaskcrank/internal/dispatch/calls"
)

// Problem is the body of a refusal, a problem details object as defined in RFC 9457.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Reason is the machine-readable reason.
	Reason calls.Reason `json:"reason"`
	// Ran states whether the request ran: notRun, unknown or ran.
	Ran       calls.Ran `json:"ran"`
	RequestID string    `json:"requestId,omitempty"`
}

// statusOf returns the HTTP status of a refusal.
func statusOf(refusal calls.Refusal) int {
	switch refusal.Reason {
	case calls.ReasonNoKey, calls.ReasonBadKey:
		return http.StatusUnauthorized
	case calls.ReasonUnknownService:
		return http.StatusNotFound
	case calls.ReasonNoResourceKey, calls.ReasonBadRequest:
		return http.StatusBadRequest
	case calls.ReasonBodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case calls.ReasonOverRate:
		return http.StatusTooManyRequests
	case calls.ReasonKeyReused, calls.ReasonQuarantined:
		return http.StatusUnprocessableEntity
	case calls.ReasonStillRunning, calls.ReasonAnswerOmitted:
		return http.StatusConflict
	case calls.ReasonOutcomeUnknown, calls.ReasonUpstreamLost, calls.ReasonLinkLost, calls.ReasonAnswerCut,
		calls.ReasonAnswerTooLarge, calls.ReasonAnswerUnframed:
		return http.StatusBadGateway
	case calls.ReasonDeadlinePassed, calls.ReasonUpstreamTimeout:
		return http.StatusGatewayTimeout
	default:
		return http.StatusServiceUnavailable
	}
}

// writeProblem responds with a refusal.
func writeProblem(writer http.ResponseWriter, refusal calls.Refusal, requestID string) {
	status := statusOf(refusal)
	header := writer.Header()
	header.Set("Content-Type", "application/problem+json")
	header.Set("Cache-Control", "no-store")
	if refusal.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(refusal.RetryAfter.Seconds()))))
	}
	body, err := json.Marshal(Problem{
		Type: "about:blank", Title: http.StatusText(status), Status: status, Detail: refusal.Detail,
		Reason: refusal.Reason, Ran: refusal.Ran, RequestID: requestID,
	})
	if err != nil {
		writer.WriteHeader(http.StatusInternalServerError)
		return
	}
	header.Set("Content-Length", strconv.Itoa(len(body)))
	writer.WriteHeader(status)
	_, _ = writer.Write(body)
}
