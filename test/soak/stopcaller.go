package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/yarrowmast/yarrowmast/platform/standin"
)

const (
	// stopCallers is the number of callers of each router while routers are stopped in series,
	// smallRouterCallers that of a small one, which is enough to overload it.
	stopCallers        = 6
	smallRouterCallers = 32
	// newConnOneIn is how rarely a caller opens a new connection although it could keep the last one.
	// maxLead is how long before the request it does so.
	newConnOneIn = 4
	maxLead      = 20 * time.Millisecond
	// splitOneIn is how rarely a request is sent in two parts, the header and the body in turn.
	// maxShortPause bounds the pause between the parts, and one in longPauseOneIn is up to maxLongPause. One in
	// stallOneIn is up to maxStall, which is within the time of a stop, and with maxLead within the 3 s in which the
	// configuration wants a header to arrive.
	splitOneIn     = 2
	maxShortPause  = 150 * time.Millisecond
	maxLongPause   = 600 * time.Millisecond
	longPauseOneIn = 4
	maxStall       = 2900 * time.Millisecond
	stallOneIn     = 30
	// maxThinkTime bounds the time between two requests of a caller, and one in longThinkOneIn is up to
	// maxLongThinkTime.
	maxThinkTime     = 30 * time.Millisecond
	maxLongThinkTime = 800 * time.Millisecond
	longThinkOneIn   = 5
	// splitBodyBytes is the size of a body that is sent in two parts.
	splitBodyBytes = 3000
	// stopDeadline is the deadline of a request. It leaves a request that stalls time to run.
	stopDeadline = 5 * time.Second
	// giveUpAfter is how long a caller waits for an answer, longer than any stop takes.
	giveUpAfter = drainFor + 2*time.Second
	// redialInterval is the time between two tries to connect to a router.
	redialInterval = 10 * time.Millisecond
)

// stopCaller sends requests to one router, on connections of its own making, until the router's process is gone
// and again when it is back.
type stopCaller struct {
	*traffic
	name   string
	router int
	rng    *rand.Rand
	conn   *net.TCPConn
	reader *bufio.Reader
}

// run sends requests one after the other until ctx is done.
func (c *stopCaller) run(ctx context.Context) {
	defer c.disconnect()
	for n := 0; ctx.Err() == nil; n++ {
		if c.conn != nil && c.rng.IntN(newConnOneIn) == 0 {
			c.disconnect()
		}
		if c.conn == nil && !c.connect() {
			time.Sleep(redialInterval)
			continue
		}
		r := stopRequest{response: response{ID: fmt.Sprintf("%s-%d", c.name, n), Kind: kinds[c.rng.IntN(len(kinds))]}, Router: c.router}
		c.exchange(&r)
		c.checker.addStopRequest(r)
		time.Sleep(c.drawTime(longThinkOneIn, maxThinkTime, maxLongThinkTime))
	}
}

// connect opens a connection a moment before it is used.
func (c *stopCaller) connect() bool {
	conn, err := net.DialTimeout("tcp", c.fleet.routers[c.router].callersAddr, time.Second)
	if err != nil {
		return false
	}
	c.conn, c.reader = conn.(*net.TCPConn), bufio.NewReader(conn)
	time.Sleep(time.Duration(c.rng.Int64N(int64(maxLead))))
	return true
}

func (c *stopCaller) disconnect() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// drawTime draws a time below short, or one in longOneIn below long.
func (c *stopCaller) drawTime(longOneIn int, short, long time.Duration) time.Duration {
	if c.rng.IntN(longOneIn) == 0 {
		return time.Duration(c.rng.Int64N(int64(long)))
	}
	return time.Duration(c.rng.Int64N(int64(short)))
}

// drawPause draws the time between the parts of a request.
func (c *stopCaller) drawPause() time.Duration {
	if c.rng.IntN(stallOneIn) == 0 {
		return time.Duration(c.rng.Int64N(int64(maxStall)))
	}
	return c.drawTime(longPauseOneIn, maxShortPause, maxLongPause)
}

// answer is what a caller read on its connection after a request.
type answer struct {
	status   int
	body     string
	complete bool
	// closes says that the connection closes after the answer.
	closes bool
	err    error
	at     time.Duration
}

// exchange sends a request in one part or two, reads the answer, and records in r what happened.
func (c *stopCaller) exchange(r *stopRequest) {
	parts := c.drawParts(r)
	_ = c.conn.SetDeadline(time.Now().Add(giveUpAfter))
	answers := make(chan answer, 1)
	go func() { answers <- c.readAnswer() }()
	a, sent, whole := c.sendParts(r, parts, answers)
	r.Status, r.Body, r.Complete, r.EndedAt = a.status, a.body, a.complete, a.at
	if a.err != nil {
		r.Cause = a.err.Error()
		r.Read = hadBegunToRead(c.conn, sent, a.err)
	}
	if a.err != nil || a.closes || !whole {
		c.disconnect()
	}
}

// sendParts sends the parts of a request until it is answered. It returns the answer, the number of bytes sent, and
// whether these are the whole request.
func (c *stopCaller) sendParts(r *stopRequest, parts [][]byte, answers <-chan answer) (a answer, sent int, whole bool) {
	for i, part := range parts {
		if i > 0 {
			select {
			case a = <-answers:
				return a, sent, false
			case <-time.After(c.drawPause()):
			}
		}
		n, err := c.conn.Write(part)
		sent += n
		if i == 0 {
			r.SentAt = time.Since(c.start)
		}
		if err != nil {
			return <-answers, sent, false
		}
	}
	return <-answers, sent, true
}

// readAnswer reads one response.
func (c *stopCaller) readAnswer() answer {
	var a answer
	resp, err := http.ReadResponse(c.reader, nil)
	if err == nil {
		var body []byte
		body, err = io.ReadAll(resp.Body)
		a.status, a.body, a.closes = resp.StatusCode, string(body), resp.Close
	}
	a.err, a.complete, a.at = err, err == nil, time.Since(c.start)
	return a
}

// drawParts returns the bytes of a request in the parts in which they are sent.
func (c *stopCaller) drawParts(r *stopRequest) [][]byte {
	split, splitBody := c.rng.IntN(splitOneIn) == 0, c.rng.IntN(2) == 0
	body := ""
	if split && splitBody {
		body = strings.Repeat("x", splitBodyBytes)
	}
	data := c.requestBytes(r, body)
	head := len(data) - len(body)
	switch {
	case !split:
		return [][]byte{data}
	case splitBody:
		return cutAt(data, head+c.rng.IntN(len(body)))
	default:
		return cutAt(data, 1+c.rng.IntN(head-1))
	}
}

func cutAt(data []byte, n int) [][]byte { return [][]byte{data[:n], data[n:]} }

// requestBytes returns a request as it is sent.
func (c *stopCaller) requestBytes(r *stopRequest, body string) []byte {
	req, err := standin.NewRequest(context.Background(), c.fleet.routers[c.router].callersAddr, host, pathOf(r.Kind), r.ID, key, stopDeadline)
	if err != nil {
		panic(err) // The address and the path are well-formed.
	}
	if r.Kind.isStream() {
		standin.SetParts(req, r.parts()...)
	}
	if body != "" {
		req.Body, req.ContentLength = io.NopCloser(strings.NewReader(body)), int64(len(body))
	}
	var b bytes.Buffer
	_ = req.Write(&b) // A buffer does not fail.
	return b.Bytes()
}
