package strictjson_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/yarrowmast/yarrowmast/pkg/strictjson"
)

// TestFields guards against dropping duplicate fields, merging names that differ by case, and
// accepting input that is not one object.
func TestFields(t *testing.T) {
	tests := map[string]struct {
		text string
		want []string
		ok   bool
	}{
		"empty object":           {"{}", nil, true},
		"space around tokens":    {" {\n\"a\" :\t1 , \"b\": \"x\" } ", []string{"a", "1", "b", `"x"`}, true},
		"values of all types":    {`{"a":{"b":[1,"}"]},"c":[{},[]],"d":null,"e":true,"f":-1.5e3}`, []string{"a", `{"b":[1,"}"]}`, "c", "[{},[]]", "d", "null", "e", "true", "f", "-1.5e3"}, true},
		"quotes and backslashes": {`{"a":"\\\"}","b":"\\\\"}`, []string{"a", `"\\\"}"`, "b", `"\\\\"`}, true},
		"escapes in a name":      {`{"\u0061":1}`, []string{"a", "1"}, true},
		"duplicate":              {`{"a":1,"a":2}`, []string{"a", "1", "a", "2"}, true},
		"names differ by case":   {`{"A":1,"a":2}`, []string{"A", "1", "a", "2"}, true},
		"an array":               {"[1]", nil, false},
		"null":                   {"null", nil, false},
		"two objects":            {"{}{}", nil, false},
		"truncated":              {`{"a":`, nil, false},
		"empty input":            {"", nil, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var got []string
			ok := strictjson.Fields([]byte(tc.text), func(f strictjson.Field) { got = append(got, string(f.Name), string(f.Value)) })
			if ok != tc.ok || !cmp.Equal(got, tc.want) {
				t.Errorf("%q, %v, want %q, %v", got, ok, tc.want, tc.ok)
			}
		})
	}
}

func TestValues(t *testing.T) {
	for value, want := range map[string]int64{"48": 48, "-3": -3, "48.0": 48, "4.8e1": 48, "9007199254740992": 1 << 53} {
		if n, ok := strictjson.Integer([]byte(value)); !ok || n != want {
			t.Errorf("%s is decoded as %d, %v", value, n, ok)
		}
	}
	for _, value := range []string{"1.5", "1e99", `"48"`, "null", "true", "[1]", "{}"} {
		if n, ok := strictjson.Integer([]byte(value)); ok {
			t.Errorf("%s is decoded as the integer %d", value, n)
		}
	}
	for _, value := range []string{"1", "null", "true", `["a"]`} {
		if s, ok := strictjson.String([]byte(value)); ok {
			t.Errorf("%s is decoded as the string %q", value, s)
		}
	}
}
