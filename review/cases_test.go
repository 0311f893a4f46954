//go:build review

package review

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// The exit codes of run.sh.
const (
	exitBroken = 1
	exitNotRun = 2
)

// TestReviewCases plays the scripts of the second review. Each fails as long as its rule is broken. It needs
// the build of the deploy file and review/build-2.sh.
func TestReviewCases(t *testing.T) {
	scripts, err := filepath.Glob("[4-8]/run.sh")
	if err != nil || len(scripts) == 0 {
		t.Fatalf("no scripts: %v", err)
	}
	for _, script := range scripts {
		t.Run(filepath.Dir(script), func(t *testing.T) {
			cmd := exec.Command("./" + script)
			cmd.Stderr = os.Stderr
			out, err := cmd.Output()
			t.Logf("%s", out)
			var exit *exec.ExitError
			switch {
			case err == nil:
			case errors.As(err, &exit) && exit.ExitCode() == exitBroken:
				t.Error("the rule was broken; see claim.txt and record.txt beside the script")
			case errors.As(err, &exit) && exit.ExitCode() == exitNotRun:
				t.Error("the case could not run; build the deploy file and review/build-2.sh first")
			default:
				t.Error(err)
			}
		})
	}
}
