package metrics_test

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/yarrowmast/yarrowmast/internal/front"
	"github.com/yarrowmast/yarrowmast/internal/metrics"
)

// TestAccountsAreBounded guards against one series per account, and against losing the requests
// of accounts without their own label.
func TestAccountsAreBounded(t *testing.T) {
	m, err := metrics.New("a")
	if err != nil {
		t.Fatal(err)
	}
	const accounts = 3600
	for i := range accounts {
		m.RequestEnded(front.Outcome{Account: fmt.Sprint("account-", i), Model: "form"})
	}
	// Close exports all values.
	if err := m.Close(); err != nil {
		t.Fatal(err)
	}
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	series, total := 0, 0.0
	for line := range strings.SplitSeq(w.Body.String(), "\n") {
		if !strings.HasPrefix(line, "yarrowmast_requests{") {
			continue
		}
		series++
		var n float64
		_, _ = fmt.Sscan(line[strings.LastIndex(line, " ")+1:], &n)
		total += n
	}
	if series > 300 || total != accounts {
		t.Errorf("%d series with a total of %v requests", series, total)
	}
}
