package main

import (
	"bufio"
	"bytes"
	"io"
	"math/rand/v2"
	"net/http"
	"testing"
)

// TestDrawParts checks that requests are sent whole, or in two parts that are cut in the header or in the body, and
// that the parts make up the request.
func TestDrawParts(t *testing.T) {
	const requests = 200
	c := &stopCaller{
		traffic: &traffic{fleet: &fleet{routers: []*router{{callersAddr: "127.0.0.1:1"}}}},
		rng:     rand.New(rand.NewPCG(1, 2)),
	}
	whole, inHeader, inBody := 0, 0, 0
	for range requests {
		r := stopRequest{response: response{ID: "x", Kind: PlainStream}}
		parts := c.drawParts(&r)
		req, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(bytes.Join(parts, nil))))
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(req.Body)
		if err != nil || req.Host != host || req.URL.Path != pathOf(PlainStream) {
			t.Errorf("request %+v: %v", req, err)
		}
		switch {
		case len(parts) == 1:
			whole++
		case len(parts[0]) == 0 || len(parts[1]) == 0:
			t.Errorf("parts of %d and %d bytes", len(parts[0]), len(parts[1]))
		case len(body) == 0:
			inHeader++
		default:
			inBody++
			if len(body) != splitBodyBytes || len(parts[1]) > splitBodyBytes {
				t.Errorf("the second part has %d bytes, the body %d", len(parts[1]), len(body))
			}
		}
	}
	if whole < requests/4 || inHeader < requests/8 || inBody < requests/8 {
		t.Errorf("%d whole, %d cut in the header, %d in the body", whole, inHeader, inBody)
	}
}
