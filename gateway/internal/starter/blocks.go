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

// blocksDelay is the wait before blocks are written to the store again.
const blocksDelay = time.Second

// requestBlocksWrite makes writeBlocks write the blocks.
func (starter *Starter) requestBlocksWrite() {
	select {
	case starter.blocksChanged <- struct{}{}:
	default: // they will be written already
	}
}

// writeBlocks writes the requests that are blocked to the store whenever this VM has found a change,
// until the context ends.
func (starter *Starter) writeBlocks(ctx context.Context, registrar *registrar.Registrar) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-starter.blocksChanged:
		}
		blocks := starter.storedBlocks()
		if err := registrar.WriteBlocks(ctx, blocks); err != nil {
			starter.Log.WithError(err).Warn("blocks-not-written")
			starter.requestBlocksWrite()
		} else {
			starter.Log.WithField("blocks", len(blocks)).Info("blocks-written")
		}
		if !timer.Sleep(ctx, blocksDelay) {
			return
		}
	}
}

// storedBlocks returns the blocks as the store keeps them, with times of day.
func (starter *Starter) storedBlocks() []registrar.Block {
	now, clock := time.Now(), timer.Now()
	blocks := []registrar.Block{}
	for _, block := range starter.dispatcher.Blocks() {
		blocks = append(blocks, registrar.Block{
			Fingerprint: block.Request.String(), CrashedAt: now.Add(block.CrashedAt - clock), Until: now.Add(block.Until - clock), Count: block.Count,
		})
	}
	return blocks
}

// importBlocks takes in the blocks of the store.
func (starter *Starter) importBlocks(blocks []registrar.Block) {
	now, clock := time.Now(), timer.Now()
	for _, block := range blocks {
		bytes, err := hex.DecodeString(block.Fingerprint)
		fingerprint, ok := fingerprinter.Parse(string(bytes))
		if err != nil || !ok {
			starter.Log.WithField("fingerprint", block.Fingerprint).Warn("fingerprint-malformed")
			continue
		}
		if !block.Until.After(now) {
			continue
		}
		starter.dispatcher.ImportBlock(quarantiner.Block{
			Request: fingerprint, CrashedAt: clock - max(0, now.Sub(block.CrashedAt)), Until: clock + block.Until.Sub(now), Count: max(1, block.Count),
		})
	}
}
