package origin_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/origin"
	"github.com/yarrowmast/yarrowmast/pkg/table"
)

func began(version string) origin.Origin {
	return origin.Origin{Service: 7, Software: table.Software{Version: version}}
}

var unknown = origin.Origin{Service: 7, Software: table.Software{Unknown: true}}

// TestReportsOnOneStream: a stream whose reports contradict each other began at no version that can be told.
func TestReportsOnOneStream(t *testing.T) {
	tests := map[string]struct {
		reports []origin.Origin
		want    origin.Origin
	}{
		"one":                     {[]origin.Origin{began("v1")}, began("v1")},
		"repeated":                {[]origin.Origin{began("v1"), began("v1")}, began("v1")},
		"contradicting":           {[]origin.Origin{began("v1"), began("v2")}, unknown},
		"repeated afterwards":     {[]origin.Origin{began("v1"), began("v2"), began("v1")}, unknown},
		"of two services":         {[]origin.Origin{began("v1"), {Service: 8, Software: table.Software{Version: "v1"}}}, unknown},
		"unknown, then a version": {[]origin.Origin{unknown, began("v1")}, unknown},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := origin.New(10)
			for _, o := range tc.reports {
				s.Add(time.Second, 1, o, time.Minute)
			}
			if got, known := s.Get(time.Second, 1); !known || got != tc.want {
				t.Errorf("got %+v, known: %v; want %+v", got, known, tc.want)
			}
		})
	}
}

// TestStreamsExpire: a stream is remembered until its caller can no longer take it up, and no longer.
func TestStreamsExpire(t *testing.T) {
	s := origin.New(10)
	s.Add(0, 1, began("v1"), 10*time.Second)
	s.Add(0, 2, began("v1"), 20*time.Second)
	s.Add(0, 3, began("v1"), 0)
	if s.Len() != 2 {
		t.Errorf("%d streams are remembered, want 2: one had expired", s.Len())
	}
	for at, want := range map[time.Duration]bool{9 * time.Second: true, 10 * time.Second: false} {
		if _, known := s.Get(at, 1); known != want {
			t.Errorf("known at %v: %v, want %v", at, known, want)
		}
	}
	s.Add(15*time.Second, 4, began("v1"), time.Minute)
	if s.Len() != 2 {
		t.Errorf("%d streams are kept after one of three has expired, want 2", s.Len())
	}
}

// TestMemoryIsBounded: a flood of streams must cost bounded memory; the oldest give way.
func TestMemoryIsBounded(t *testing.T) {
	const most, added = 100, 10_000
	s := origin.New(most)
	for i := range added {
		s.Add(time.Second, origin.Key(i), began("v1"), time.Hour)
	}
	if s.Len() != most || s.Evicted() != added-most {
		t.Errorf("%d streams are remembered and %d gave way, want %d and %d", s.Len(), s.Evicted(), most, added-most)
	}
	for key, want := range map[origin.Key]bool{0: false, added - most - 1: false, added - most: true, added - 1: true} {
		if _, known := s.Get(time.Second, key); known != want {
			t.Errorf("stream %d is known: %v, want %v", key, known, want)
		}
	}
}

// TestKeysOfAccountsDiffer: an attempt ID of one account must not name a stream of another one.
func TestKeysOfAccountsDiffer(t *testing.T) {
	keys := map[origin.Key]string{}
	for _, pair := range [][2]string{{"moka", "id-1"}, {"moka", "id-2"}, {"moka2", "id-1"}, {"mok", "aid-1"}, {"", "mokaid-1"}, {"moka", ""}, {"", ""}} {
		key, name := origin.KeyOf(pair[0], pair[1]), fmt.Sprintf("%q %q", pair[0], pair[1])
		if other, used := keys[key]; used {
			t.Errorf("%s and %s have the same key", name, other)
		}
		keys[key] = name
	}
}
