package caller

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/valyala/fasthttp"

	"azuredoor.example/entry/relay"
)

type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// models handles GET /v1/models. Callers without a key get only the models of open routes.
func (s *Server) models(x *Exchange) *relay.Error {
	list := modelList{Object: "list", Data: []model{}}
	var names []string
	for route := range maps.Values(x.View.Config.Routes) {
		if route.Open || x.Customer != "" {
			names = append(names, route.Models...)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		list.Data = append(list.Data, model{ID: name, Object: "model", OwnedBy: "azuredoor"})
	}
	data, err := json.Marshal(list)
	if err != nil {
		return toRelayError(err)
	}
	x.HTTP.Response.Header.SetContentType("application/json")
	x.HTTP.SetStatusCode(fasthttp.StatusOK)
	x.HTTP.SetBody(data)
	return nil
}
