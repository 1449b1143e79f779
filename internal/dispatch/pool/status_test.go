package pool

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestStatusOutOfRange guards against answers of upstreams in trouble that are waited on until the
// deadline, or passed on, as their status is not one of HTTP.
func TestStatusOutOfRange(t *testing.T) {
	cases := []struct {
		status string
		// reason is empty if the response is a valid one.
		reason Reason
	}{
		{"000", ReasonBadStatus},
		{"099", ReasonBadStatus},
		{"600", ReasonBadStatus},
		{"999", ReasonBadStatus},
		{"+99", ReasonBadStatus},
		{"-99", ReasonMalformed},
		{"20", ReasonMalformed},
		{"2000", ReasonMalformed},
		{"2x0", ReasonMalformed},
		{"", ReasonMalformed},
		{"200", ""},
		{"599", ""},
		{"100 Continue\r\n\r\nHTTP/1.1 199 Interim\r\n\r\nHTTP/1.1 200", ""},
	}
	for _, testcase := range cases {
		t.Run(testcase.status, func(t *testing.T) {
			is := is.New(t)
			whole := "HTTP/1.1 " + testcase.status + " X\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody"
			standin := startStandIn(t,
				script{responses: []string{whole, responseText("2", "next")}, silent: true},
				script{responses: []string{responseText("2", "next")}})
			ctx, cancel := context.WithTimeout(context.Background(), longTimeout)
			defer cancel()
			pool, began := newPool(), time.Now()
			_, failure := pool.Send(ctx, standin.address(), newRequest("1"))
			is.True(time.Since(began) < longTimeout/2) // not at the deadline
			_, next := pool.Send(ctx, standin.address(), newRequest("2"))
			is.Equal(next, nil)
			_, conns := standin.count()
			if testcase.reason == "" {
				is.Equal(failure, nil)
				is.Equal(conns, 1)
				return
			}
			is.True(failure != nil)
			is.Equal(failure.Failure, FailureGarbled)
			is.Equal(failure.Reason, testcase.reason)
			is.True(failure.MayHaveRun())
			is.Equal(conns, 2) // the connection is not used again
		})
	}
}
