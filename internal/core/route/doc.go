// Package route holds the operators' configuration and looks up the route,
// service and team of a request.
//
// # Lookup
//
// Among the routes of a request's host, the one with the longest matching path
// prefix is selected. Prefixes begin and end with a slash. A team is looked up
// by any of its API keys.
//
// # Usage
//
//	table := route.New(config)
//	r, ok := table.Match("api.example", "/plans/7")
//	team, ok := table.Team(key)
package route
