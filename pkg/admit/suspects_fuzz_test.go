package admit_test

import (
	"bytes"
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/admit"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// FuzzSuspects: crash reports with any content must be bounded per message and must not block
// unrelated requests.
func FuzzSuspects(f *testing.F) {
	var buf bytes.Buffer
	e := wire.NewEncoder(&buf)
	for _, m := range []any{
		&wire.SuspectUpdate{Crashes: []wire.SuspectCrash{{Digest: 7, Server: 1, AgoMillis: 3}}, Completed: []uint64{8}, Retrying: []uint64{7}, Ended: []uint64{7}},
		&wire.PartCrashes{Crashes: []wire.SuspectCrash{{Digest: 7, Server: 1, AgoMillis: 3}}},
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
		c, messages := w.cores[w.order[0]], 0
		for _, m := range msgs {
			switch m.(type) {
			case *wire.SuspectUpdate, *wire.PartCrashes, *wire.Leaving:
				messages++
				w.step(w.order[0], admit.Message{From: "other", Msg: m})
			}
		}
		if n := c.SuspectCount(); n > 256*messages {
			t.Fatalf("%d requests have recorded crashes after %d messages", n, messages)
		}
		leaving, _ := c.Notices()
		id := w.submit(w.order[0], admit.Request{Prompt: 900})
		w.run(w.now + 50*time.Millisecond)
		if _, started := w.starts[id]; !started && len(leaving) < 2 {
			t.Fatal("a request without crashes did not start")
		}
	})
}
