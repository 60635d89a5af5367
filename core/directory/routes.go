package directory

import (
	"net"
	"slices"
	"strings"

	"nutmegnotch/core"
)

// Routes is an immutable index of the routes of a deployment. byHost maps a host
// name in lower case to its routes, longest path prefix first.
type Routes struct{ byHost map[string][]core.Route }

// NewRoutes indexes the routes of a deployment.
func NewRoutes(d *core.Deployment) *Routes {
	r := &Routes{byHost: map[string][]core.Route{}}
	for _, route := range d.Routes {
		host := strings.ToLower(route.Host)
		r.byHost[host] = append(r.byHost[host], route)
	}
	for _, list := range r.byHost {
		slices.SortStableFunc(list, func(a, b core.Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	return r
}

// Find returns the route of a host whose path prefix is the longest that matches
// path. It reports false if no route matches. A port in host is ignored.
func (r *Routes) Find(host, path string) (core.Route, bool) {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	for _, route := range r.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route, true
		}
	}
	return core.Route{}, false
}

// PickService returns the target service of a route for a fraction of at least 0
// and below 1. Uniformly random fractions split requests by the weights of the
// targets. The route must have a target.
func PickService(r core.Route, fraction float64) string {
	total := 0
	for _, t := range r.Targets {
		total += max(0, t.Weight)
	}
	remaining := fraction * float64(total)
	for _, t := range r.Targets {
		if remaining -= float64(max(0, t.Weight)); remaining < 0 {
			return t.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}
