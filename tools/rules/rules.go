//go:build ruleguard

// Package rules defines the lint rules specific to this project.
package rules

import "github.com/quasilyte/go-ruleguard/dsl"

// bareGo reports go statements: goroutines must be started through a group that waits for them to end.
func bareGo(m dsl.Matcher) {
	m.Match(`go $_($*_)`, `go func() { $*_ }()`, `go func($*_) { $*_ }($*_)`).Report(`start goroutines through a group, not by a bare go statement`)
}
