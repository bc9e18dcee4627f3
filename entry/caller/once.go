package caller

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/valyala/fasthttp"

	"azuredoor.example/core/config"
	"azuredoor.example/entry/relay"
)

const headerIdempotencyKey = "Idempotency-Key"

const maxIdempotencyKeyBytes = 255

// atMostOnce prepares the claim of a non-idempotent request that has an idempotency key. The relay makes the claim
// after admission, so that rejected requests cause no load on the control group.
type atMostOnce struct {
	control Control
}

// Serve implements Filter.
func (f *atMostOnce) Serve(x *Exchange, next Handler) *relay.Error {
	if x.Kind == KindModels || x.Profile.RepeatRule != config.NonIdempotent {
		return next(x)
	}
	key := x.HTTP.Request.Header.Peek(headerIdempotencyKey)
	if len(key) == 0 {
		return next(x)
	}
	if len(key) > maxIdempotencyKeyBytes {
		return rejection(fasthttp.StatusBadRequest, "invalid_idempotency_key", "The idempotency key is too long.")
	}
	session, ok := f.control.SessionID()
	if !ok {
		return notReadyError("The router has no session with its control group.")
	}
	x.Claim = &relay.Claim{SessionID: session, Key: string(key), BodyHash: requestHash(x.HTTP)}
	return next(x)
}

// requestHash returns the SHA-256 of the method, path, query and body, each preceded by its length.
func requestHash(ctx *fasthttp.RequestCtx) []byte {
	digest := sha256.New()
	for _, part := range [][]byte{ctx.Method(), ctx.Path(), ctx.URI().QueryString(), ctx.Request.Body()} {
		// Writing to a hash never fails.
		_, _ = digest.Write(binary.LittleEndian.AppendUint64(nil, uint64(len(part))))
		_, _ = digest.Write(part)
	}
	return digest.Sum(nil)
}
