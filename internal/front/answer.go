package front

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"

	"briarworks.example/briarworks/internal/server"
	"briarworks.example/briarworks/pkg/call"
	"briarworks.example/briarworks/pkg/reason"
)

// HeaderRetryAfterMs is the header for the retry delay in milliseconds, since Retry-After only has whole seconds.
const HeaderRetryAfterMs = "Briar-Retry-After-Ms"

// Refusal is the JSON body of a response that does not come from the backend server.
type Refusal struct {
	Outcome      string `json:"outcome"`
	Reason       string `json:"reason"`
	RetryAfterMs int64  `json:"retryAfterMs,omitempty"`
}

// statusCodes maps reasons to HTTP status codes. Other reasons map to 504 if the outcome is unknown, otherwise to 503.
var statusCodes = map[reason.Refusal]int{
	reason.BadRequest:      http.StatusBadRequest,
	reason.KeyMissing:      http.StatusBadRequest,
	reason.BodyShort:       http.StatusBadRequest,
	reason.HeadersSlow:     http.StatusRequestTimeout,
	reason.BodyTooLarge:    http.StatusRequestEntityTooLarge,
	reason.HeadersTooLarge: http.StatusRequestHeaderFieldsTooLarge,
	reason.UnknownKind:     http.StatusNotFound,
	reason.KeyRunning:      http.StatusConflict,
	reason.KeyUnknown:      http.StatusConflict,
	reason.KeyReused:       http.StatusUnprocessableEntity,
	reason.KeyShare:        http.StatusTooManyRequests,
	reason.DepthExceeded:   http.StatusLoopDetected,
	reason.AnswerTooLarge:  http.StatusBadGateway,
	reason.ServerFailed:    http.StatusBadGateway,
	reason.Internal:        http.StatusInternalServerError,
}

// statusCode returns the HTTP status code of a response that the node itself makes.
func statusCode(res *call.Result) int {
	if code, ok := statusCodes[res.Reason]; ok {
		return code
	}
	if res.Outcome == reason.Unknown {
		return http.StatusGatewayTimeout
	}
	return http.StatusServiceUnavailable
}

// writeResult writes the backend server's response if the request ran, otherwise the refusal.
func writeResult(c *gin.Context, res *call.Result) {
	if res.Outcome == reason.Ran {
		writeResponse(c, res)
		return
	}
	h := c.Writer.Header()
	h.Set(server.HeaderOutcome, res.Outcome.String())
	h.Set(server.HeaderReason, res.Reason.String())
	body := Refusal{Outcome: res.Outcome.String(), Reason: res.Reason.String()}
	if res.RetryAfter > 0 {
		body.RetryAfterMs = res.RetryAfter.Milliseconds()
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(res.RetryAfter.Seconds()))))
		h.Set(HeaderRetryAfterMs, strconv.FormatInt(body.RetryAfterMs, 10))
	}
	c.JSON(statusCode(res), body)
}

func writeResponse(c *gin.Context, res *call.Result) {
	h := c.Writer.Header()
	for _, x := range res.Header {
		h.Add(x.Name, x.Value)
	}
	h.Set("Content-Length", strconv.Itoa(len(res.Body)))
	c.Writer.WriteHeader(res.Status)
	_, _ = c.Writer.Write(res.Body)
}

// retryAfter returns the retry delay for a refusal, or 0 if retrying does not help. The delay is one second plus spread
// seconds, where spread is a hash of the request in [0,1), so that refused callers do not all retry at once.
func retryAfter(refusal reason.Refusal, spread float64) time.Duration {
	switch refusal {
	case reason.Overload, reason.QueueFull, reason.QueueTimeout, reason.DeadlineTooShort, reason.NoServer,
		reason.Starting, reason.Draining, reason.NodeFull, reason.ServerShed, reason.ServerDown, reason.LogUnavailable, reason.KeyRunning:
		return time.Second + time.Duration(spread*float64(time.Second))
	}
	return 0
}
