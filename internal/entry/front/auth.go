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
	headerAuthorization  = "Authorization"
	headerKey            = "X-Api-Key"
	headerIdempotencyKey = "Idempotency-Key"
	bearerPrefix         = "Bearer "
	keyPrefix            = "dk_"
	maxKeyLength         = 256
	maxIdempotencyKey    = 256
)

// strippedHeaders are the caller's fields that no upstream sees: keys, and the
// fields that the system sets itself.
var strippedHeaders = upstr.NewFieldSet(
	headerAuthorization, headerKey, headerIdempotencyKey, "Cookie", "Forwarded", "X-Forwarded-For",
	upstr.HeaderWorkspace, upstr.HeaderToken, upstr.HeaderEpoch, upstr.HeaderDeadline,
	upstr.HeaderRequestID, upstr.HeaderOutcome, headerTimeout,
)

// FormatKey joins a key's name and secret as callers present them.
func FormatKey(name, secret string) string { return keyPrefix + name + "_" + secret }

// HashSecret returns the hash under which a key's secret is kept.
func HashSecret(secret string) string {
	hash := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(hash[:])
}

// presentedKey returns the key that a request carries.
func presentedKey(request *http.Request) string {
	if key, ok := strings.CutPrefix(request.Header.Get(headerAuthorization), bearerPrefix); ok {
		return key
	}
	return request.Header.Get(headerKey)
}

// authenticate returns the workspace whose key a request carries.
func authenticate(catalog *state.Catalog, request *http.Request) (string, *calls.Refused) {
	presented := presentedKey(request)
	if presented == "" {
		return "", &calls.Refused{Reason: calls.ReasonNoKey, Ran: calls.RanNot, Detail: "the request carries no key"}
	}
	unknown := &calls.Refused{Reason: calls.ReasonBadKey, Ran: calls.RanNot, Detail: "the key is not in force"}
	rest, ok := strings.CutPrefix(presented, keyPrefix)
	split := strings.LastIndex(rest, "_")
	if !ok || split < 0 || len(presented) > maxKeyLength {
		return "", unknown
	}
	key, known := catalog.CallerKey(rest[:split])
	hash := HashSecret(rest[split+1:])
	// The comparison runs for unknown names too, so that time tells nothing.
	same := subtle.ConstantTimeCompare([]byte(hash), []byte(key.Hash)) == 1
	if !known || !same {
		return "", unknown
	}
	if _, ok := catalog.Workspace(key.Workspace); !ok {
		return "", unknown
	}
	return key.Workspace, nil
}
