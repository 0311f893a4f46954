package admit_test

import (
	"bytes"
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/admit"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// FuzzSuspects has a router take in any frame that decodes as something told of ends of
// servers: it keeps no more than one message holds of each, goes on, and refuses nobody
// else's request.
func FuzzSuspects(f *testing.F) {
	var buf bytes.Buffer
	e := wire.NewEncoder(&buf)
	for _, m := range []any{
		&wire.SuspectUpdate{Crashes: []wire.SuspectCrash{{Digest: 7, Server: 1, AgoMillis: 3}}, Completed: []uint64{8}, Retrying: []uint64{7}, Ended: []uint64{7}},
		&wire.Leaving{Servers: []wire.NameHash{1, 2}},
	} {
		if err := e.Append(m); err != nil {
			f.Fatal(err)
		}
	}
	f.Add(buf.Bytes())
	f.Fuzz(func(t *testing.T, data []byte) {
		msgs, err := wire.NewDecoder().Decode(data)
		if err != nil {
			return
		}
		w := newWorld(1, 1, []string{"a"}, 2)
		c, told := w.cores[w.order[0]], 0
		for _, m := range msgs {
			switch m.(type) {
			case *wire.SuspectUpdate, *wire.Leaving:
				told++
				w.step(w.order[0], admit.Message{From: "other", Msg: m})
			}
		}
		if n := c.SuspectCount(); n > 256*told {
			t.Fatalf("%d requests are remembered of %d messages", n, told)
		}
		leaving, _ := c.Notices()
		id := w.ask(w.order[0], admit.Request{Prompt: 900})
		w.run(w.now + 50*time.Millisecond)
		if _, started := w.starts[id]; !started && len(leaving) < 2 {
			t.Fatal("a request without ends is not sent")
		}
	})
}
