package starter

import (
	"context"
	"encoding/hex"
	"time"

	"godwitramp.example/core/fingerprinter"
	"godwitramp.example/core/quarantiner"
	"godwitramp.example/gateway/internal/registrar"
	"godwitramp.example/shell/timer"
)

const (
	// blocksDelay is the wait before blocks are written to the store again.
	blocksDelay = time.Second
	// untilTolerance is the difference up to which the ends of a block are the same: VMs differ in when they learn of a
	// crash, and in their clocks.
	untilTolerance = time.Second
)

// requestBlocksWrite makes writeBlocks write the blocks and crashes.
func (starter *Starter) requestBlocksWrite() {
	select {
	case starter.blocksChanged <- struct{}{}:
	default: // they will be written already
	}
}

// writeBlocks writes the requests that are blocked, and crashes of requests that may be soon, to the store whenever this
// VM has found a change, until the context ends.
func (starter *Starter) writeBlocks(ctx context.Context, suspectRegistrar *registrar.Registrar) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-starter.blocksChanged:
		}
		var suspects registrar.Suspects
		written, err := suspectRegistrar.UpdateSuspects(ctx, func(stored registrar.Suspects) (registrar.Suspects, bool) {
			starter.importSuspects(stored) // another VM may know what this one missed
			suspects = starter.suspects()
			return suspects, !sameSuspects(stored, suspects)
		})
		if err != nil {
			starter.Log.WithError(err).Warn("blocks-not-written")
			starter.requestBlocksWrite()
		} else if written {
			starter.Log.WithField("blocks", len(suspects.Blocks)).WithField("crashes", len(suspects.Crashes)).Info("blocks-written")
		}
		if !timer.Sleep(ctx, blocksDelay) {
			return
		}
	}
}

// suspects returns the blocks and crashes as the store keeps them, with times of day.
func (starter *Starter) suspects() registrar.Suspects {
	now, clock := time.Now(), timer.Now()
	suspects := registrar.Suspects{Blocks: []registrar.Block{}, Crashes: []registrar.Crash{}}
	for _, block := range starter.dispatcher.Blocks() {
		suspects.Blocks = append(suspects.Blocks, registrar.Block{
			Fingerprint: block.Request.String(), CrashedAt: now.Add(block.CrashedAt - clock), Until: now.Add(block.Until - clock), Count: block.Count,
		})
	}
	for _, run := range starter.dispatcher.Crashes() {
		suspects.Crashes = append(suspects.Crashes, registrar.Crash{
			Fingerprint: run.Request.String(), Target: run.At.Target, Incarnation: run.At.Incarnation,
			Began: now.Add(run.Start - clock), Ended: now.Add(run.End - clock), Follows: run.Follows,
		})
	}
	return suspects
}

// sameSuspects reports whether both say the same, apart from errors of times.
func sameSuspects(a, b registrar.Suspects) bool {
	if len(a.Blocks) != len(b.Blocks) || len(a.Crashes) != len(b.Crashes) {
		return false
	}
	type run struct {
		fingerprint, target string
		incarnation         int64
	}
	blocks, runs := make(map[string]registrar.Block), make(map[run]bool)
	for _, block := range a.Blocks {
		blocks[block.Fingerprint] = block
	}
	for _, crash := range a.Crashes {
		runs[run{crash.Fingerprint, crash.Target, crash.Incarnation}] = true
	}
	for _, block := range b.Blocks {
		other, ok := blocks[block.Fingerprint]
		if !ok || other.Count != block.Count || block.Until.Sub(other.Until).Abs() > untilTolerance {
			return false
		}
	}
	for _, crash := range b.Crashes {
		if !runs[run{crash.Fingerprint, crash.Target, crash.Incarnation}] {
			return false
		}
	}
	return true
}

// importSuspects takes in the blocks and crashes of the store.
func (starter *Starter) importSuspects(suspects registrar.Suspects) {
	now, clock := time.Now(), timer.Now()
	for _, block := range suspects.Blocks {
		fingerprint, ok := starter.parseFingerprint(block.Fingerprint)
		if !ok || !block.Until.After(now) {
			continue
		}
		starter.dispatcher.ImportBlock(quarantiner.Block{
			Request: fingerprint, CrashedAt: clock - max(0, now.Sub(block.CrashedAt)), Until: clock + block.Until.Sub(now), Count: max(1, block.Count),
		})
	}
	for _, crash := range suspects.Crashes {
		fingerprint, ok := starter.parseFingerprint(crash.Fingerprint)
		if !ok {
			continue
		}
		starter.dispatcher.ImportCrash(quarantiner.Run{
			Request: fingerprint, At: quarantiner.Instance{Target: crash.Target, Incarnation: crash.Incarnation},
			Start: clock - max(0, now.Sub(crash.Began)), End: clock - max(0, now.Sub(crash.Ended)), Follows: crash.Follows,
		})
	}
}

func (starter *Starter) parseFingerprint(digits string) (fingerprinter.Fingerprint, bool) {
	bytes, err := hex.DecodeString(digits)
	fingerprint, ok := fingerprinter.Parse(string(bytes))
	if err != nil || !ok {
		starter.Log.WithField("fingerprint", digits).Warn("fingerprint-malformed")
		return fingerprint, false
	}
	return fingerprint, true
}
