package peer

import "testing"

// TestLargeBufferIsReleased guards against keeping the buffer of an unusually large frame.
func TestLargeBufferIsReleased(t *testing.T) {
	tests := map[string]struct {
		size int
		kept bool
	}{
		"usual": {2 << 10, true},
		"large": {300 << 10, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			o := &outbox{}
			o.buf.Write(make([]byte, tc.size))
			o.shrink()
			if kept := o.buf.Cap() > 0; kept != tc.kept {
				t.Errorf("kept %v with %d bytes, want %v", kept, tc.size, tc.kept)
			}
		})
	}
}
