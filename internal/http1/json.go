package http1

import (
	"encoding/json"
	"net/http"

	"github.com/samber/oops"

	"briarworks.example/briarworks/pkg/budget"
	"briarworks.example/briarworks/pkg/ident"
)

// DecodeJSON reads the body of a response to its end, at most limit bytes, and decodes it as one document. A decoder on the body
// would stop after the first value, whether more follows or the rest is cut off.
func DecodeJSON[T any](resp *http.Response, limit ident.Bytes) (v T, err error) {
	defer func() { err = oops.Wrapf(err, "http1: decode response") }()
	b, err := budget.ReadAll(resp.Body, resp.ContentLength, limit, nil)
	if err != nil {
		return v, err
	}
	var decoded T
	if err = json.Unmarshal(b, &decoded); err != nil {
		return v, err
	}
	return decoded, nil
}
