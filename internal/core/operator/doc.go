// Package operator defines the rules that operators write and the moves of
// traffic between versions that the rules request.
//
// # Rules
//
// The rules file is TOML with one rule per line. Each rule ends with a comment
// that names who requested it. Parse reports every error with its line and
// column; a file with any error is rejected as a whole.
//
//	service.plans = { kind = "engine", version = "v1", first_token = "720ms", between_tokens = "44ms" }  # asked by R. Tremblay, T-101
//	version.plans-v2 = { service = "plans", name = "v2", checks_fencing = true }  # asked by R. Tremblay, T-102
//	team.crew = { key_sha256 = "…", weight = 2.0, max_in_flight = 200 }  # asked by M. Roy, T-090
//	move.plans-v2 = { service = "plans", from = "v1", to = "v2", by = 2026-12-05T18:00:00Z, on_deadline = "rollback" }  # asked by R. Tremblay, T-103
//
// # Usage
//
//	rules, problems := operator.Parse(text)
//	svc, ok := rules.Service("plans")
package operator
