// Package settings reads and validates a node's settings file, which is TOML.
//
// [Parse] reads the settings of "monsoonlanding serve", [ParseGateway] those of
// "monsoonlanding gateway", which runs on the users' platform. Both report all
// problems of a file at once, each with its line and key. An unknown key is a
// problem.
//
// # Usage
//
//	s, problems := settings.Parse(text)
//	if len(problems) > 0 { ... }
package settings
