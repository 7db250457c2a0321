package guard

import (
	"errors"
	"testing"
)

// Guards against a panic that ends the process or is not reported, and against an error that is lost.
func TestCall(t *testing.T) {
	failure := errors.New("failure")
	tests := map[string]struct {
		f       func() (int, error)
		want    int
		wantErr bool
		reports int
	}{
		"result":    {func() (int, error) { return 7, nil }, 7, false, 0},
		"error":     {func() (int, error) { return 0, failure }, 0, true, 0},
		"panic":     {func() (int, error) { panic("x") }, 0, true, 1},
		"nil write": {func() (int, error) { var m map[int]int; m[1] = 1; return 1, nil }, 0, true, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			reports, stacks := 0, 0
			g := &Guard{OnPanic: func(_ string, _ any, stack []byte) {
				reports++
				if len(stack) > 0 {
					stacks++
				}
			}}
			got, err := Call(g, "test", tt.f)
			if got != tt.want || (err != nil) != tt.wantErr {
				t.Errorf("result: got %d, %v, want %d, error: %t", got, err, tt.want, tt.wantErr)
			}
			if reports != tt.reports || stacks != tt.reports {
				t.Errorf("reports: got %d with %d stacks, want %d", reports, stacks, tt.reports)
			}
			_, _ = Call(g, "test", tt.f)
			if stacks > 1 {
				t.Errorf("stacks within a second: got %d, want at most 1", stacks)
			}
			var none *Guard
			none.Run("test", func() { panic("x") })
		})
	}
}
