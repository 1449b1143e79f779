package front

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"damaskcrank.example/damaskcrank/internal/control/state"
	"damaskcrank.example/damaskcrank/internal/dispatch/calls"
	"damaskcrank.example/damaskcrank/internal/dispatch/upstr"
)

const (
	headerAuthorization    = "Authorization"
	headerKey              = "X-Api-Key"
	headerIdempotencyKey   = "Idempotency-Key"
	bearerPrefix           = "Bearer "
	keyPrefix              = "dk_"
	maxKeyBytes            = 256
	maxIdempotencyKeyBytes = 256
)

// strippedHeaders are the header fields of callers that are not forwarded to
// upstreams: credentials, and fields that the system sets itself.
var strippedHeaders = upstr.NewFieldSet(
	headerAuthorization, headerKey, headerIdempotencyKey, "Cookie", "Forwarded", "X-Forwarded-For",
	upstr.HeaderWorkspace, upstr.HeaderToken, upstr.HeaderEpoch, upstr.HeaderDeadline,
	upstr.HeaderRequestID, upstr.HeaderAttempt, upstr.HeaderOutcome, headerTimeout,
)

// FormatKey formats a caller key from its name and secret.
func FormatKey(name, secret string) string { return keyPrefix + name + "_" + secret }

// HashSecret returns the hash of a secret, in the form in which it is stored.
func HashSecret(secret string) string {
	hash := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(hash[:])
}

// presentedKey returns the caller key of a request, or an empty string.
func presentedKey(request *http.Request) string {
	if key, ok := strings.CutPrefix(request.Header.Get(headerAuthorization), bearerPrefix); ok {
		return key
	}
	return request.Header.Get(headerKey)
}

// authenticate returns the workspace that a request's caller key belongs to.
func authenticate(catalog *state.Catalog, request *http.Request) (string, *calls.Refusal) {
	presented := presentedKey(request)
	if presented == "" {
		return "", &calls.Refusal{Reason: calls.ReasonNoKey, Ran: calls.RanNot, Detail: "the request carries no key"}
	}
	unknown := &calls.Refusal{Reason: calls.ReasonBadKey, Ran: calls.RanNot, Detail: "the key is not in force"}
	rest, ok := strings.CutPrefix(presented, keyPrefix)
	separator := strings.LastIndex(rest, "_")
	if !ok || separator < 0 || len(presented) > maxKeyBytes {
		return "", unknown
	}
	key, known := catalog.CallerKey(rest[:separator])
	hash := HashSecret(rest[separator+1:])
	// Unknown names are compared too, so that the response time does not reveal
	// which names exist.
	match := subtle.ConstantTimeCompare([]byte(hash), []byte(key.Hash)) == 1
	if !known || !match {
		return "", unknown
	}
	if _, ok := catalog.Workspace(key.Workspace); !ok {
		return "", unknown
	}
	return key.Workspace, nil
}
