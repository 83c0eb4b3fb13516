package rlbclock

import "testing"

func TestNow(t *testing.T) {
	first := Now()
	if second := Now(); second.Before(first) {
		t.Errorf("%v after %v", second, first)
	}
}
