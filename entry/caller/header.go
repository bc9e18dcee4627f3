package caller

import (
	"bytes"
	"strings"

	"github.com/valyala/fasthttp"
)

// hopByHop lists the hop-by-hop fields (RFC 9110, section 7.6.1), in lower case. They are not forwarded.
var hopByHop = map[string]bool{
	"connection": true, "keep-alive": true, "proxy-connection": true, "proxy-authenticate": true, "proxy-authorization": true,
	"proxy-authentication-info": true, "te": true, "trailer": true, "transfer-encoding": true, "upgrade": true,
	"content-length": true,
}

// strippedHeaders lists the request headers, in lower case, that are not forwarded because they carry secrets of the
// caller or because the router sets them.
var strippedHeaders = map[string]bool{
	"authorization": true, "cookie": true, "api-key": true, "x-api-key": true, "host": true, "expect": true,
}

// routerHeaderPrefix is the prefix, in lower case, of the names of headers that only the router sets.
const routerHeaderPrefix = "azuredoor-"

// connectionOptions returns the header names that the Connection headers list, in lower case.
func connectionOptions(values [][]byte) map[string]bool {
	options := map[string]bool{}
	for _, value := range values {
		for option := range strings.SplitSeq(string(value), ",") {
			options[strings.ToLower(strings.TrimSpace(option))] = true
		}
	}
	return options
}

// upstreamRequest returns the request to send to a plain HTTP service, without secrets and hop-by-hop fields.
func upstreamRequest(x *Exchange) *fasthttp.Request {
	from, to := &x.HTTP.Request, &fasthttp.Request{}
	to.Header.SetMethodBytes(from.Header.Method())
	// Use the normalised path, which the route was matched with.
	to.URI().SetPathBytes(x.HTTP.Path())
	to.URI().SetQueryStringBytes(x.HTTP.URI().QueryString())
	to.SetRequestURIBytes(to.URI().RequestURI())
	listed := connectionOptions(from.Header.PeekAll(fasthttp.HeaderConnection))
	for name, value := range from.Header.All() {
		lower := strings.ToLower(string(name))
		if hopByHop[lower] || strippedHeaders[lower] || listed[lower] || strings.HasPrefix(lower, routerHeaderPrefix) || x.containsKey(value) {
			continue
		}
		to.Header.AddBytesKV(name, value)
	}
	if x.Customer != "" {
		to.Header.Set(headerCustomer, x.Customer)
	}
	to.Header.Set(headerRequestID, x.ID)
	if body := from.Body(); len(body) > 0 {
		to.SetBody(body)
	}
	return to
}

// copyResponse copies the response of a service, without hop-by-hop fields and headers with the router's prefix.
func copyResponse(to, from *fasthttp.Response) {
	to.SetStatusCode(from.StatusCode())
	to.SkipBody = from.SkipBody
	listed := connectionOptions(from.Header.PeekAll(fasthttp.HeaderConnection))
	for name, value := range from.Header.All() {
		lower := strings.ToLower(string(name))
		if hopByHop[lower] || listed[lower] || strings.HasPrefix(lower, routerHeaderPrefix) {
			continue
		}
		if bytes.EqualFold(name, []byte(fasthttp.HeaderContentType)) {
			to.Header.SetContentTypeBytes(value)
			continue
		}
		to.Header.AddBytesKV(name, value)
	}
	if from.SkipBody {
		to.Header.SetContentLength(from.Header.ContentLength())
		return
	}
	to.SetBody(from.Body())
}
