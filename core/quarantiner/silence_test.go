package quarantiner_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"godwitramp.example/core/quarantiner"
)

func TestLooksBecomeRare(t *testing.T) {
	is := is.New(t)
	watch := &quarantiner.Watch{Usual: 300 * time.Millisecond}
	is.Equal(watch.Next(), 300*time.Millisecond)
	is.Equal(watch.Next(), 600*time.Millisecond)
	for range 10 {
		watch.Next()
	}
	is.Equal(watch.Next(), 64*300*time.Millisecond)
	is.Equal((&quarantiner.Watch{}).Next(), 100*time.Millisecond)
}

// A VM that can't be shown to reach any target must not take a target for crashed.
func TestFindingsOfALook(t *testing.T) {
	is := is.New(t)
	is.Equal(quarantiner.Look{Reachable: true, OthersReachable: true}.Judge(), quarantiner.Alive)
	is.Equal(quarantiner.Look{Reachable: true}.Judge(), quarantiner.Alive)
	is.Equal(quarantiner.Look{OthersReachable: true}.Judge(), quarantiner.Crashed)
	is.Equal(quarantiner.Look{}.Judge(), quarantiner.Cut)
}

// A request that is sent to a target that is down already, over a connection that nothing has ended, has not
// crashed it.
func TestRequestSentAfterTheCrashIsTheCause(t *testing.T) {
	is := is.New(t)
	q := &quarantiner.Quarantiner{}
	for i, target := range []string{"a", "b", "c"} {
		at := time.Duration(i+1) * time.Second
		q.RecordCrash(crash(1, target, at), at)
		late := quarantiner.Run{Request: printOf(2), At: quarantiner.Instance{Target: target}, Start: at + 100*time.Millisecond, End: at + 400*time.Millisecond}
		q.RecordCrash(late, at+400*time.Millisecond)
	}
	is.True(blocked(q, 1, 4*time.Second))
	is.True(!blocked(q, 2, 4*time.Second))
}
