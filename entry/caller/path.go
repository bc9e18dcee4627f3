package caller

import (
	"github.com/valyala/fasthttp"

	"azuredoor.example/entry/relay"
)

// pathRouter sets the kind of a request and the route of a request to a plain HTTP service. Engine routes depend on the
// model in the body; bodyParser sets them.
type pathRouter struct {
	control Control
}

// Serve implements Filter.
func (f *pathRouter) Serve(x *Exchange, next Handler) *relay.Error {
	x.View = f.control.View()
	if x.View == nil || x.View.Config == nil {
		return notReadyError("The router has no configuration yet.")
	}
	method := fasthttp.MethodPost
	switch path := string(x.HTTP.Path()); path {
	case "/v1/chat/completions":
		x.Kind = KindChat
	case "/v1/completions":
		x.Kind = KindCompletion
	case "/v1/models":
		x.Kind, method = KindModels, fasthttp.MethodGet
	default:
		return f.routeService(x, path, next)
	}
	if string(x.HTTP.Method()) != method {
		return rejection(fasthttp.StatusMethodNotAllowed, "method_not_allowed", "The path does not support this method.")
	}
	return next(x)
}

func (f *pathRouter) routeService(x *Exchange, path string, next Handler) *relay.Error {
	name, ok := x.View.Config.RouteForPath(string(x.HTTP.Method()), path)
	if !ok {
		return rejection(fasthttp.StatusNotFound, "not_found", "No route matches the path.")
	}
	x.Kind, x.RouteName, x.Route = KindService, name, x.View.Config.Routes[name]
	return next(x)
}
