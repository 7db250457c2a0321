package chain

import (
	"fmt"
	"testing"
	"time"

	"briarworks.example/briarworks/pkg/ident"
)

// BenchmarkTick measures one tick of a node with a full history, including its part of the estimates.
func BenchmarkTick(b *testing.B) {
	var g Graph
	now := time.Unix(1000, 0)
	step := func(i int) {
		for k := range 4 {
			kind := ident.Kind(fmt.Sprint("kind", k))
			g.Begin(kind, 0)
			if i%2 == 0 {
				g.Call(kind)
				g.End(kind, 0)
			}
		}
		now = now.Add(20 * time.Millisecond)
		g.Tick(now)
	}
	for i := range historySize {
		step(i)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		step(i)
	}
}
