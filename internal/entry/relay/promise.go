package relay

import (
	"net/http"

	"damaskcrank.example/damaskcrank/internal/dispatch/pool"
)

// failureUnproven means that a response contradicts itself, or promises more than the
// upstream says, on whether the request ran. The request may have run.
const failureUnproven pool.Failure = "unproven"

var (
	errPromise = Error.New("the status promises that the request has not run, and the upstream does not say so")
	errSuccess = Error.New("the upstream says that it has not run the request, with a status of success")
)

// promises reports whether a status promises callers that their request has not run and
// will not run. Callers send such requests again.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// unproven returns the failure of a response that must neither be passed on nor be taken
// for a rejection, or nil.
func unproven(status int, responseinfo ResponseInfo) *pool.SendError {
	switch {
	case promises(status) && !responseinfo.NotRun:
		return &pool.SendError{Failure: failureUnproven, Reason: pool.Reason(failureUnproven), Cause: errPromise}
	case responseinfo.NotRun && status < http.StatusBadRequest:
		return &pool.SendError{Failure: failureUnproven, Reason: pool.Reason(failureUnproven), Cause: errSuccess}
	default:
		return nil
	}
}
