package capacity

import (
	"bytes"
	"fmt"
	"os"
	"runtime"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/hold"
	"github.com/yarrowmast/yarrowmast/pkg/member"
	"github.com/yarrowmast/yarrowmast/pkg/once"
	"github.com/yarrowmast/yarrowmast/pkg/pool"
	"github.com/yarrowmast/yarrowmast/pkg/strictyaml"
	"github.com/yarrowmast/yarrowmast/pkg/table"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// Slopes are measured costs per message, step and element. Bytes are sizes of frames on a connection
// that has sent the same names before. Times are for one core.
type Slopes struct {
	Machine string `yaml:"machine"`
	// Bytes of one message, and of each element (row) in it.
	GrantBytes       float64 `yaml:"grant_bytes"`
	ReturnBytes      float64 `yaml:"return_bytes"`
	DemandBytes      float64 `yaml:"demand_bytes"`
	DemandRowBytes   float64 `yaml:"demand_row_bytes"`
	ReportBytes      float64 `yaml:"report_bytes"`
	ReportRowBytes   float64 `yaml:"report_row_bytes"`
	RenewBytes       float64 `yaml:"renew_bytes"`
	ShareBytes       float64 `yaml:"share_bytes"`
	ShareRowBytes    float64 `yaml:"share_row_bytes"`
	ProbeBytes       float64 `yaml:"probe_bytes"`
	RumourBytes      float64 `yaml:"rumour_bytes"`
	ClaimBytes       float64 `yaml:"claim_bytes"`
	ClaimAnswerBytes float64 `yaml:"claim_answer_bytes"`
	TableRowBytes    float64 `yaml:"table_row_bytes"`
	DeltaBytes       float64 `yaml:"delta_bytes"`
	FrameBytes       float64 `yaml:"frame_bytes"`
	// Microseconds of one step.
	CodecMicros   float64 `yaml:"codec_us"`
	RequestMicros float64 `yaml:"request_us"`
	GrantMicros   float64 `yaml:"grant_us"`
	ShareMicros   float64 `yaml:"share_us"`
	ProbeMicros   float64 `yaml:"probe_us"`
	ClaimMicros   float64 `yaml:"claim_us"`
	TickMicros    float64 `yaml:"tick_us"`
	// Bytes of memory for each waiting request, account, key and so on.
	WaitingMemory float64 `yaml:"waiting_memory"`
	// OpenMemory covers the connection, buffers and goroutines of a request. BenchmarkWaiting in
	// internal/node measures it.
	OpenMemory     float64 `yaml:"open_memory"`
	AccountMemory  float64 `yaml:"account_memory"`
	KeyMemory      float64 `yaml:"key_memory"`
	TableRowMemory float64 `yaml:"table_row_memory"`
	MemberMemory   float64 `yaml:"member_memory"`
}

// Load reads slopes from a YAML file.
func Load(file string) (Slopes, error) {
	var s Slopes
	data, err := os.ReadFile(file)
	if err != nil {
		return s, fmt.Errorf("capacity: %w", err)
	}
	return s, strictyaml.Decode(file, data, &s).Err()
}

// Measure measures every slope but OpenMemory on this machine.
func Measure() Slopes {
	s := Slopes{Machine: fmt.Sprintf("%d cores, %s/%s, %s", runtime.NumCPU(), runtime.GOOS, runtime.GOARCH, runtime.Version())}
	s.measureBytes()
	s.measureTimes()
	s.measureMemory()
	return s
}

// frameHeader is the length prefix of a frame, in bytes.
const frameHeader = 4

func (s *Slopes) measureBytes() {
	p := wire.NewPool("form-reader", "port-louis", 0)
	source := wire.Source{Owner: "port-louis-0", Pool: p, Epoch: 1 << 60}
	const stamp = 1_796_205_821_123
	demand := func(n int) any {
		return &wire.Demand{Pool: p, Seq: 1000, Stamp: stamp, Seen: 1000, Waiting: sampleWaiting(n)}
	}
	report := func(n int) any {
		r := &wire.Report{Pool: p, Epoch: source.Epoch, Stamp: stamp}
		for i := range uint64(n) {
			r.AddRunning(100*i, 100*(i+1), 300)
		}
		return r
	}
	share := func(n int) any {
		return &wire.Share{From: p, To: p, Epoch: source.Epoch, Seq: 1000, Stamp: stamp, Served: sampleServed(n), Waiting: sampleWaiting(n), Free: 1, Slots: 64, Table: 1600}
	}
	probe := func(n int) any {
		return &wire.Probe{Seq: 1000, Incarnation: source.Epoch, Table: 1600, Rumours: make([]wire.Rumour, n)}
	}
	s.FrameBytes = frameHeader
	s.GrantBytes = encodedSize(&wire.Grant{For: p, Seq: 1000, Stamp: stamp, TTLMillis: 1500, Source: source,
		Leases: []wire.Lease{{ID: 1000, Backend: "form-12", Account: accountName(1)}}})
	s.ReturnBytes = encodedSize(&wire.Return{Pool: p, Epoch: source.Epoch, Done: []wire.LeaseUse{{ID: 1000, Tokens: 300}}})
	s.RenewBytes = encodedSize(&wire.Renew{Pool: p, Stamp: stamp})
	s.DemandBytes, s.DemandRowBytes = slope(demand)
	s.ReportBytes, s.ReportRowBytes = slope(report)
	s.ShareBytes, s.ShareRowBytes = slope(share)
	s.ProbeBytes, s.RumourBytes = slope(probe)
	s.ClaimBytes = encodedSize(&wire.Claim{Seq: 1000, Key: accountName(1) + "\x00order-123456", Request: "port-louis-0-abcdef-1000", At: stamp})
	s.ClaimAnswerBytes = encodedSize(&wire.ClaimReply{Seq: 1000})
	fullTable := func(n int) any { return &wire.FullTable{Revision: 1600, Accounts: sampleTable(n).Accounts} }
	_, s.TableRowBytes = slope(fullTable)
	s.DeltaBytes = encodedSize(&wire.TableDelta{Delta: table.Delta{From: 1600, To: 1601, Digest: 1 << 60, Accounts: sampleTable(1).Accounts}})
}

func sampleWaiting(n int) []wire.Waiting {
	all := make([]wire.Waiting, n)
	for i := range all {
		all[i] = wire.Waiting{Account: accountName(i), Count: 20}
	}
	return all
}

func sampleServed(n int) []wire.Served {
	all := make([]wire.Served, n)
	for i := range all {
		all[i] = wire.Served{Account: accountName(i), Tokens: 123456.5, VirtualTime: 23456.5}
	}
	return all
}

func accountName(i int) string { return fmt.Sprintf("account-%04d", i) }

func sampleTable(n int) *table.Table {
	t := &table.Table{Revision: 1}
	for i := range n {
		t.Accounts = append(t.Accounts, table.Account{
			Name: accountName(i), Weight: 1.5, KeySHA256: fmt.Sprintf("%064x", i), Limits: table.Limits{Queued: 1000, InFlight: 50},
		})
	}
	t.Index()
	return t
}

// encodedSize returns the size of a message that is sent for the second time on a connection.
func encodedSize(msg any) float64 {
	var buf bytes.Buffer
	enc := wire.NewEncoder(&buf)
	for range 2 {
		buf.Reset()
		if err := enc.Append(msg); err != nil {
			return 0
		}
	}
	return float64(buf.Len())
}

// slope returns the size of a message without elements, and the size of each element.
func slope(msg func(n int) any) (empty, each float64) {
	const count = 100
	empty = encodedSize(msg(0))
	return empty, (encodedSize(msg(count)) - empty) / count
}

// microsPerCall returns the mean duration of a call of f, in microseconds.
func microsPerCall(f func()) float64 {
	const minDuration = 200 * time.Millisecond
	n := 0
	start := time.Now()
	for time.Since(start) < minDuration {
		for range 10 {
			f()
		}
		n += 10
	}
	return float64(time.Since(start).Microseconds()) / float64(n)
}

func (s *Slopes) measureTimes() {
	s.measureCodec()
	s.measureHolder()
	s.measureOwner()
	m := member.New("a", 1, 1)
	now := time.Duration(0)
	s.ProbeMicros = microsPerCall(func() {
		now += time.Second
		m.Step(now, member.Probe{From: "b", Msg: &wire.Probe{Seq: 1, Incarnation: 2}})
	})
	h := once.New("a", 0)
	h.SetRouters(0, []string{"a", "b", "c"})
	i := 0
	s.ClaimMicros = microsPerCall(func() {
		i++
		c := &wire.Claim{Key: fmt.Sprint(i % 100_000), Request: "r"}
		h.Claim(time.Duration(i), c)
	})
}

func (s *Slopes) measureCodec() {
	p := wire.NewPool("form-reader", "port-louis", 0)
	msg := &wire.Return{Pool: p, Epoch: 1 << 60, Done: []wire.LeaseUse{{ID: 1000, Tokens: 300}}}
	var buf bytes.Buffer
	enc, dec := wire.NewEncoder(&buf), wire.NewDecoder()
	s.CodecMicros = microsPerCall(func() {
		buf.Reset()
		_ = enc.Append(msg)
		_, _ = dec.Decode(buf.Bytes())
	})
}

// measureHolder measures arrival, grant and end of a request in a holder.
func (s *Slopes) measureHolder() {
	p := wire.NewPool("m", "z", 0)
	h := hold.New()
	owner := hold.PoolOwner{Pool: p, Owner: "o", Incarnation: 1}
	h.Step(0, hold.PoolOwners{Zone: "z", Of: map[wire.Pool]hold.PoolOwner{p: owner}})
	h.Step(0, hold.ModelOwners{Of: map[string]hold.PoolOwner{"m": owner}})
	now, id := time.Second, uint64(0)
	s.RequestMicros = microsPerCall(func() {
		now += time.Millisecond
		id++
		h.Step(now, hold.Arrive{ID: id, Account: accountName(int(id % 9)), Model: "m", Deadline: now + time.Minute})
		h.Step(now, hold.Granted{From: "o", Msg: &wire.Grant{For: p, Seq: id, Stamp: wire.StampOf(now), TTLMillis: 1500,
			Source: wire.Source{Owner: "o", Pool: p, Epoch: 1},
			Leases: []wire.Lease{{ID: id, Backend: "b", Account: accountName(int(id % 9))}}}})
		h.Step(now, hold.Finished{ID: id, Tokens: 100, Sent: true})
	})
	s.TickMicros = microsPerCall(func() {
		now += 50 * time.Millisecond
		h.Step(now, hold.Tick{})
	})
}

// NewOwner returns an owner with one backend server and with waiting requests of the given number of
// accounts.
func NewOwner(accounts, slots int) (*pool.Owner, wire.Pool) {
	p := wire.NewPool("m", "z", 0)
	o := pool.New("o", p, 0, pool.WithTakeoverDelay(0))
	o.Step(1, pool.Servers{List: []pool.Server{{Name: "b", Slots: slots, AcceptsRequests: true}}})
	d := &wire.Demand{Pool: p, Seq: 1, Stamp: 1}
	for i := range accounts {
		d.Waiting = append(d.Waiting, wire.Waiting{Account: accountName(i), Count: 1 << 30})
	}
	o.Step(2, pool.Demand{From: "h", Msg: d})
	return o, p
}

// Regrant returns a function that returns the oldest lease to the owner, which then grants the slot
// again.
func Regrant(o *pool.Owner, p wire.Pool) func() {
	now, id := time.Second, uint64(0)
	return func() {
		now += time.Millisecond
		id++
		if id%100 == 1 {
			// An owner grants nothing to a router that has stopped sending its demand.
			o.Step(now, pool.Demand{From: "h", Msg: &wire.Demand{Pool: p, Seq: id + 1, Seen: id, Stamp: wire.StampOf(now)}})
		}
		o.Step(now, pool.Return{From: "h", Msg: &wire.Return{Pool: p, Epoch: 0, Done: []wire.LeaseUse{{ID: id, Tokens: 100}}}})
	}
}

func (s *Slopes) measureOwner() {
	o, p := NewOwner(10, 64)
	s.GrantMicros = microsPerCall(Regrant(o, p))
	q := wire.NewPool("m", "y", 0)
	o.Step(time.Hour, pool.Siblings{Nodes: map[wire.Pool]string{q: "n"}})
	seq := uint64(0)
	served := make([]wire.Served, 10)
	for i := range served {
		served[i] = wire.Served{Account: accountName(i), Tokens: 1}
	}
	s.ShareMicros = microsPerCall(func() {
		seq++
		o.Step(time.Hour, pool.Share{From: "n", Msg: &wire.Share{From: q, To: p, Epoch: 1, Seq: seq, Served: served}})
	})
}

// heapBytesEach returns the heap bytes that the result of f retains, divided by n.
func heapBytesEach(n int, f func(n int) any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	result := f(n)
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(result)
	return max(0, float64(after.HeapAlloc)-float64(before.HeapAlloc)) / float64(n)
}

func (s *Slopes) measureMemory() {
	const count = 20_000
	s.WaitingMemory = heapBytesEach(count, func(n int) any {
		h := hold.New()
		for i := range n {
			h.Step(1, hold.Arrive{ID: uint64(i), Account: accountName(i % 10), Model: "m", Deadline: time.Hour})
		}
		return h
	})
	s.AccountMemory = heapBytesEach(count, func(n int) any {
		o, _ := NewOwner(n, 1)
		return o
	})
	s.KeyMemory = heapBytesEach(count, func(n int) any {
		h := once.New("a", 0)
		h.SetRouters(0, []string{"a"})
		for i := range n {
			h.Claim(1, &wire.Claim{Key: accountName(i) + "\x00order", Request: accountName(i)})
		}
		return h
	})
	s.TableRowMemory = heapBytesEach(count, func(n int) any { return sampleTable(n) })
	s.MemberMemory = heapBytesEach(count, func(n int) any {
		m := member.New("a", 1, 1)
		var peers []member.Peer
		for i := range n {
			peers = append(peers, member.Peer{Name: accountName(i)})
		}
		m.Step(1, member.PlatformList{Peers: peers})
		return m
	})
}
