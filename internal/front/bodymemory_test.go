package front_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/yarrowmast/yarrowmast/internal/backend"
	"github.com/yarrowmast/yarrowmast/internal/front"
)

// TestLargeBodiesAreBounded guards against bodies that take a router over its memory, so that it is killed and loses what
// it has handed on.
func TestLargeBodiesAreBounded(t *testing.T) {
	// What is left of a body that is refused on the way is less than the HTTP server reads before it closes.
	const limit, large, small, medium = 1 << 20, 800 << 10, 30 << 10, 200 << 10
	full, served := reply{http.StatusServiceUnavailable, "not-run", "bodies-full"}, reply{200, "ran", ""}
	body := func(size int) string { return `{"model":"form","prompt":"` + strings.Repeat("x", size) + `"}` }
	tests := map[string]struct {
		// open is whether another body of the large size is coming meanwhile.
		open    bool
		size    int
		chunked bool
		want    reply
	}{
		"alone":                        {false, large, false, served},
		"beside another one":           {true, large, false, full},
		"small, beside another one":    {true, small, false, served},
		"over the limit alone":         {false, limit, false, full},
		"no length, beside another":    {true, medium, true, full},
		"no length, small":             {true, 10 << 10, true, served},
		"no length, as it grows alone": {false, 500 << 10, true, full},
		"no length, alone":             {false, medium, true, served},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			f := &fake{table: newTable(t), results: []backend.Result{{}, {}}}
			limits := front.DefaultCallerLimits()
			limits.MaxBodyMemory = limit
			url := start(t, f, front.WithCallerLimits(limits))
			if tc.open {
				conn := stateBody(t, url, large)
				defer func() { _ = conn.Close() }()
			}
			var reader io.Reader = strings.NewReader(body(tc.size))
			if tc.chunked {
				reader = io.MultiReader(reader)
			}
			if diff := cmp.Diff(tc.want, sendBody(t, url, reader)); diff != "" {
				t.Errorf("reply (-want +got):\n%s", diff)
			}
		})
	}
}

// TestBodyMemoryIsReturned: the memory of a body must be free again when its request ends, in whichever way.
func TestBodyMemoryIsReturned(t *testing.T) {
	const limit = 1 << 20
	large := `{"model":"form","prompt":"` + strings.Repeat("x", 800<<10) + `"}`
	f := &fake{table: newTable(t), results: []backend.Result{{}, {}, {}}}
	limits := front.DefaultCallerLimits()
	limits.MaxBodyMemory = limit
	url := start(t, f, front.WithCallerLimits(limits))
	want := reply{200, "ran", ""}
	for range 2 {
		if diff := cmp.Diff(want, sendBody(t, url, strings.NewReader(large))); diff != "" {
			t.Fatalf("reply (-want +got):\n%s", diff)
		}
	}
	_ = stateBody(t, url, len(large)).Close()
	var got reply
	for deadline := time.Now().Add(5 * time.Second); got != want && time.Now().Before(deadline); {
		got = sendBody(t, url, strings.NewReader(large))
	}
	if got != want {
		t.Errorf("after a caller left: %+v, want %+v", got, want)
	}
}

// stateBody opens a request that states the length of its body, and returns once the router waits for the rest.
func stateBody(t *testing.T, url string, length int) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	_, _ = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer secret\r\nExpect: 100-continue\r\nContent-Length: %d\r\n\r\n", length)
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	answer := make([]byte, len("HTTP/1.1 100 "))
	if _, err := io.ReadFull(conn, answer); err != nil || string(answer) != "HTTP/1.1 100 " {
		t.Fatalf("the router does not ask for the body: %q, %v", answer, err)
	}
	return conn
}

// sendBody sends a completion request.
func sendBody(t *testing.T, url string, body io.Reader) reply {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url+front.PathCompletions, body)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer secret")
	req.Header.Set("Expect", "100-continue")
	return readReply(t, req)
}
