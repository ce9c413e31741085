// Package capacity measures the slopes that docs/CAPACITY.md extrapolates
// from: state in bytes, processor time and message bytes per thing held, each
// at three or more sizes.
//
//	go test ./e2e/capacity -bench . -benchtime 200ms
package capacity
