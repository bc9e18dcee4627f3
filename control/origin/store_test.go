package origin

import (
	"strconv"
	"testing"
	"time"
)

// TestStore guards against responses that go on at a version that is not certainly theirs, and against records without bound.
func TestStore(t *testing.T) {
	start := time.Now()
	s := NewStore()
	a, b := Key{"c", "1"}, Key{"d", "1"}
	v1, v2, none := Origin{"s", "v1"}, Origin{"s", "v2"}, Origin{}
	s.Put(start, a, v1, time.Minute)
	s.Put(start, b, v2, time.Second)
	check := func(name string, at time.Duration, key Key, want Origin, wantOK bool) {
		t.Helper()
		if got, ok := s.Get(start.Add(at), key); ok != wantOK || ok && got != want {
			t.Errorf("%s: got %v %v, want %v %v", name, got, ok, want, wantOK)
		}
	}
	check("recorded", 0, a, v1, true)
	check("the same request ID of another customer", 0, b, v2, true)
	check("too old", time.Second, b, none, false)
	check("never recorded", 0, Key{"c", "2"}, none, false)
	s.Put(start, a, v1, time.Minute)
	check("recorded again", 0, a, v1, true)
	s.Put(start, a, v2, time.Minute)
	check("recorded with two versions", 0, a, none, false)
	s.Put(start, Key{"c", "3"}, v1, time.Minute)
	s.Put(start, Key{"c", "3"}, Origin{"other", "v1"}, time.Minute)
	check("recorded with two services", 0, Key{"c", "3"}, none, false)
	for i := range maxRecords + 10 {
		s.Put(start, Key{"e", strconv.Itoa(i)}, v1, time.Hour)
	}
	if got := len(s.records); got > maxRecords {
		t.Errorf("got %d records, want at most %d", got, maxRecords)
	}
	check("the newest of too many", 0, Key{"e", strconv.Itoa(maxRecords + 9)}, v1, true)
	s.Put(start.Add(2*time.Hour), a, v1, time.Minute)
	if got := len(s.records); got != 1 {
		t.Errorf("after all are too old: got %d records, want 1", got)
	}
}
