package keeper_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"godwitramp.example/core/keeper"
)

// VMs that hear of the same keys in any order must use the same one.
func TestVMsAgreeOnTheKeyOfTheNewestEra(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		stored := rapid.SliceOfN(rapid.ByteRange(1, 3), 2, 6).Draw(t, "key of each era")
		var vms []*keeper.Keys
		for range 4 {
			started := rapid.IntRange(0, len(stored)-1).Draw(t, "era of the start")
			vms = append(vms, keeper.NewKeys(uint64(started), []byte{stored[started]}))
		}
		heard := rapid.SliceOf(rapid.Permutation([]int{0, 1, 2, 3})).Draw(t, "who hears whom")
		for _, order := range heard {
			vms[order[0]].Confirm(vms[order[1]].Era(), vms[order[1]].Held()[0])
		}
		last := len(stored) - 1
		for _, i := range rapid.Permutation([]int{0, 1, 2, 3}).Draw(t, "who reads the store") {
			vms[i].Confirm(uint64(last), []byte{stored[last]})
			is.Equal(vms[i].Held()[0], []byte{stored[last]})
			is.Equal(vms[i].Era(), uint64(last))
			is.True(len(vms[i].Held()) <= 3)
		}
	})
}

func TestKeyBeforeStaysHeldAndReturnsAfterAnotherRestore(t *testing.T) {
	is := is.New(t)
	keys := keeper.NewKeys(1, []byte("a"))
	is.True(keys.Confirm(2, []byte("b")))
	is.Equal(keys.Held(), [][]byte{[]byte("b"), []byte("a")})
	is.True(!keys.Confirm(1, []byte("c"))) // heard late
	is.True(!keys.Confirm(2, []byte("c"))) // an era has one key
	is.True(!keys.Confirm(3, []byte("b")))
	is.Equal(keys.Era(), uint64(3))
	is.True(keys.Confirm(4, []byte("a")))
	is.Equal(keys.Held(), [][]byte{[]byte("a"), []byte("b")})
}

// At 5,800 VMs no second may see more than a hundredth of them, the first VMs of the groups
// apart.
func TestReadsAfterARestoreAreSpread(t *testing.T) {
	is := is.New(t)
	is.True(keeper.Delay(true, 5800, 1) <= time.Second)
	is.True(keeper.Delay(false, 5800, 1) >= 100*time.Second)
	is.True(keeper.Delay(false, 2, 1) >= time.Second)
	is.Equal(keeper.Delay(false, 5800, 0), time.Duration(0))
}

func TestVMThatJoinsWaitsUntilTheRowsAreBack(t *testing.T) {
	is := is.New(t)
	var mark keeper.Mark
	is.Equal(mark.Wait(0, time.Hour), time.Duration(0)) // a store without eras
	is.Equal(mark.Wait(1, time.Hour), time.Duration(0)) // was never restored
	is.Equal(mark.Wait(2, time.Hour), keeper.SettleTime)
	mark = keeper.Mark{Era: 2, Since: time.Hour}
	is.Equal(mark.Wait(2, time.Hour+time.Second), keeper.SettleTime-time.Second)
	is.Equal(mark.Wait(2, 2*time.Hour), time.Duration(0))
	is.Equal(mark.Wait(2, 0), keeper.SettleTime)           // the store's clock went back
	is.Equal(mark.Wait(3, 2*time.Hour), keeper.SettleTime) // the copy has an old mark
}
