package dispatch

import (
	"testing"

	"github.com/yarrowmast/yarrowmast/pkg/admit"
)

// TestBlamed looks that a router which is late itself puts no silence down to a
// backend server, but failures that were told.
func TestBlamed(t *testing.T) {
	tests := map[string]struct {
		result admit.Result
		part   float64
		want   admit.Result
	}{
		"silent, in time":    {admit.Silent, 1, admit.Silent},
		"silent, late":       {admit.Silent, 0.9, admit.Unknown},
		"unreached, in time": {admit.Unreached, 1, admit.Unreached},
		"unreached, late":    {admit.Unreached, 0.5, admit.Unknown},
		"failed, late":       {admit.Failed, 0.5, admit.Failed},
		"broken, late":       {admit.Broken, 0.5, admit.Broken},
		"answered, late":     {admit.Answered, 0.5, admit.Answered},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			if got := blamed(tc.result, tc.part); got != tc.want {
				t.Errorf("%v, want %v", got, tc.want)
			}
		})
	}
}
