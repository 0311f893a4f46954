package dispatch

import (
	"bytes"
	"fmt"
	"log/slog"
	"math"
	"reflect"
	"runtime"
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/peer"
	"github.com/yarrowmast/yarrowmast/pkg/catalog"
	"github.com/yarrowmast/yarrowmast/pkg/table"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// oddFigures fill the fields of a message. text is the name of the sound backend server in most.
type oddFigures struct {
	integer  int64
	unsigned uint64
	float    float64
	text     string
	// length is that of lists, 0 for none. Pointers are nil if it is 0.
	length int
}

var oddFigureSets = map[string]oddFigures{
	"zero":             {},
	"zero, one each":   {length: 1},
	"highest":          {math.MaxInt64, math.MaxUint64, math.MaxFloat64, "i-a", 2},
	"lowest":           {math.MinInt64, 0, -math.MaxFloat64, "i-a", 2},
	"below zero":       {-1, 1, -1, "i-a", 2},
	"infinite":         {math.MaxInt32, math.MaxUint32, math.Inf(1), "i-a", 3},
	"below infinite":   {math.MinInt32, 1 << 63, math.Inf(-1), "i-a", 1},
	"not a number":     {1, 2, math.NaN(), "i-a", 2},
	"one":              {1, 1, 1, "i-a", 1},
	"many":             {7, 7, 0.5, "i-a", 300},
	"2^53":             {1 << 53, 1 << 53, 1 << 53, "i-a", 2},
	"odd text":         {3, 3, 3, "\x00\xff\n", 2},
	"smallest numbers": {2, 3, math.SmallestNonzeroFloat64, "i-a", 2},
	"other names":      {2, 3, 4, "10.0.0.9:80", 2},
	"no names":         {2, 3, 4, "", 2},
}

// fill sets all fields of a value.
func (o *oddFigures) fill(v reflect.Value) {
	if v.Type() == reflect.TypeFor[wire.NameHash]() {
		v.SetUint(uint64(wire.HashName(o.text)))
		return
	}
	switch v.Kind() {
	case reflect.Pointer:
		if o.length > 0 {
			v.Set(reflect.New(v.Type().Elem()))
			o.fill(v.Elem())
		}
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				o.fill(v.Field(i))
			}
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), o.length, o.length))
		for i := range o.length {
			o.fill(v.Index(i))
		}
	case reflect.Map:
		v.Set(reflect.MakeMap(v.Type()))
	case reflect.String:
		v.SetString(o.text)
	case reflect.Bool:
		v.SetBool(o.length%2 == 0)
	case reflect.Float32, reflect.Float64:
		v.SetFloat(o.float)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		bits := v.Type().Bits()
		v.SetInt(max(-1<<(bits-1), min(1<<(bits-1)-1, o.integer)))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(min(math.MaxUint64>>(64-v.Type().Bits()), o.unsigned))
	}
}

// peerMessages returns one message of each type that a router handles from another one.
func peerMessages() []any {
	return []any{
		&wire.RouterState{}, &wire.SlotRequest{}, &wire.SlotContext{}, &wire.SlotReply{}, &wire.RequestUpdate{}, &wire.RequestSync{}, &wire.Leaving{}, &wire.SuspectUpdate{}, &wire.PartCrashes{},
		&wire.SlotMargin{}, &wire.StreamPauses{}, &wire.EngineStates{}, &wire.ReturnOffer{}, &wire.ReturnPromise{}, &wire.CapacityReport{}, &wire.Usage{}, &wire.ServerSpeeds{},
		&wire.Claim{}, &wire.ClaimRelease{}, &wire.ClaimReply{}, &wire.Roster{}, &wire.PlatformUpdateRequest{}, &wire.UpdateReferral{}, &wire.StreamOrigins{}, &wire.OriginQuery{}, &wire.OriginReply{}, &wire.OriginBasis{},
		&wire.VerifyRequest{}, &wire.ListedVersions{}, &wire.SoftwareVersions{}, &wire.PlatformUpdate{}, &wire.RestrictedUpdate{},
	}
}

// newStateBesidePeer returns a state with a sound table, backend server and peer.
func newStateBesidePeer() *state {
	d := New(Identity{Name: "r", Address: "10.0.0.1:7", Zone: "a", Incarnation: 1}, emptySource{}, &recordingTransport{}, WithLogger(slog.New(slog.DiscardHandler)))
	s := newState(d)
	operators := &table.Table{
		Revision: 1, Edition: 1, Services: []table.ServiceRow{{Name: "reader", Engine: true, CacheTokens: 1 << 20}},
		Routes: []table.Route{{Name: "read", Host: "h", Prefix: "/", Stream: true, Targets: []table.Target{{Service: "reader", Weight: 1}}}},
	}
	operators.Index()
	sound := catalog.Server{Revision: 2, Backend: table.Backend{Name: "i-a", Zone: "a", Address: "10.0.0.9:80", Kind: table.Service, Models: []string{"reader"}, Slots: 8, Mark: table.Serving}}
	updateEvent{Update: catalog.Update{Epoch: 1, AsOf: 2, Table: operators, Servers: []catalog.Server{sound}}}.apply(s)
	tickEvent{}.apply(s)
	return s
}

// receive applies the messages of a frame from the peer, and some time after each.
func (s *state) receive(payload []byte) error {
	msgs, err := wire.NewDecoder().Decode(payload)
	if err != nil {
		return err
	}
	for _, msg := range msgs {
		messageEvent{peer.Inbound{From: "10.0.0.2:7", Name: "p", Zone: "a", Incarnation: 5, Conn: 1, Msg: msg}}.apply(s)
		for _, wait := range []time.Duration{0, 50 * time.Millisecond, time.Second, 20 * time.Second} {
			s.now += wait
			tickEvent{}.apply(s)
		}
	}
	return nil
}

// TestOddMessages checks that messages of another router with odd figures neither end a router, nor cost it seconds or
// memory, nor take a backend server away that they do not concern.
func TestOddMessages(t *testing.T) {
	const (
		// maxDuration is the time from which on a message counts as hanging.
		maxDuration = 30 * time.Second
		maxMemory   = 256 << 20
	)
	for name, figures := range oddFigureSets {
		for _, msg := range peerMessages() {
			t.Run(fmt.Sprintf("%T/%s", msg, name), func(t *testing.T) {
				figures.fill(reflect.ValueOf(msg).Elem())
				var buf bytes.Buffer
				if err := wire.NewEncoder(&buf).Append(msg); err != nil {
					t.Fatal(err)
				}
				s := newStateBesidePeer()
				var before, after runtime.MemStats
				runtime.ReadMemStats(&before)
				start := time.Now()
				for range 2 {
					if err := s.receive(buf.Bytes()); err != nil {
						t.Fatal(err)
					}
				}
				took := time.Since(start)
				runtime.ReadMemStats(&after)
				if used := after.TotalAlloc - before.TotalAlloc; took > maxDuration || used > maxMemory {
					t.Errorf("it took %v and %d MB", took, used>>20)
				}
				switch msg.(type) {
				case *wire.PlatformUpdate, *wire.RestrictedUpdate:
					// They may replace everything.
				default:
					if b, ok := s.d.Table().Backend("i-a"); !ok || b.Mark != table.Serving {
						t.Errorf("the backend server is %+v, listed: %v", b, ok)
					}
				}
			})
		}
	}
}
