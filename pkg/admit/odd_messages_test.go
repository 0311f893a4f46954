package admit_test

import (
	"fmt"
	"math"
	"reflect"
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/admit"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// oddFigures fill the fields of a message that names one backend server.
type oddFigures struct {
	integer  int64
	unsigned uint64
	float    float64
	length   int
}

func (o *oddFigures) fill(v reflect.Value, server string) {
	if v.Type() == reflect.TypeFor[wire.NameHash]() {
		v.SetUint(uint64(wire.HashName(server)))
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			o.fill(v.Field(i), server)
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), o.length, o.length))
		for i := range o.length {
			o.fill(v.Index(i), server)
		}
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

// TestOddMessagesDoNotStopRequests checks that odd figures of another router about one backend server keep no request
// from starting while another server is free.
func TestOddMessagesDoNotStopRequests(t *testing.T) {
	figures := map[string]oddFigures{
		"highest":      {math.MaxInt64, math.MaxUint64, math.MaxFloat64, 2},
		"lowest":       {math.MinInt64, 0, -math.MaxFloat64, 2},
		"below zero":   {-1, 1, -1, 2},
		"infinite":     {math.MaxInt32, math.MaxUint32, math.Inf(1), 3},
		"not a number": {1, 2, math.NaN(), 2},
		"zero":         {0, 0, 0, 1},
		"many":         {7, 7, 0.5, 300},
	}
	messages := []any{
		&wire.SlotRequest{}, &wire.SlotContext{}, &wire.SlotReply{}, &wire.RequestUpdate{}, &wire.RequestSync{}, &wire.Leaving{}, &wire.SuspectUpdate{}, &wire.PartCrashes{},
		&wire.SlotMargin{}, &wire.StreamPauses{}, &wire.EngineStates{}, &wire.ReturnOffer{}, &wire.ReturnPromise{},
	}
	for name, f := range figures {
		for _, msg := range messages {
			t.Run(fmt.Sprintf("%T/%s", msg, name), func(t *testing.T) {
				f.fill(reflect.ValueOf(msg).Elem(), "a-s0")
				w := newWorld(1, 2, []string{"a"}, 2)
				w.step(w.order[0], admit.Message{From: w.order[1], Msg: msg})
				w.step(w.order[1], admit.Message{From: w.order[0], Msg: msg})
				for _, router := range w.order {
					id := w.submit(router, admit.Request{Prompt: 900})
					w.run(w.now + time.Second)
					if _, started := w.starts[id]; !started {
						t.Errorf("a request at %s did not start", router)
					}
				}
			})
		}
	}
}
