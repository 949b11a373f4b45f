package steward

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"godwitramp.example/core/ejector"
	"godwitramp.example/shell/connector"
)

const (
	// Pause between two looks at the rows of permits. A permit that isn't held
	// is read each time, one that is held only when it is due for renewal.
	claimPeriod = 10 * time.Second
	// Pause before the first claims, until the peers are known: a VM that
	// knows of no other would claim every permit.
	firstClaim = 3 * time.Second
	rowPrefix  = "ejection"
)

func rowKey(id ejector.PermitID) string {
	return fmt.Sprintf("%s%s/%s/%d", rowPrefix, id.Group.Service, id.Group.Region, id.Index)
}

// claim keeps the permits of this VM claimed until the context ends.
func (steward *Steward) claim(ctx context.Context) {
	timer := time.NewTimer(firstClaim)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		steward.giveBack(ctx)
		steward.claimDue(ctx)
		timer.Reset(claimPeriod)
	}
}

// claimDue looks after each permit that isn't held or is due for renewal. It
// stops at the first error, since the store is likely away for all.
func (steward *Steward) claimDue(ctx context.Context) {
	for _, id := range steward.due() {
		if ctx.Err() != nil {
			return
		}
		if err := steward.claimOne(ctx, id); err != nil {
			steward.Log.WithError(err).WithField("permit", rowKey(id)).Warn("permit-not-claimed")
			return
		}
	}
}

func (steward *Steward) due() []ejector.PermitID {
	steward.mutex.Lock()
	defer steward.mutex.Unlock()
	now := steward.Clock.Reading()
	var due []ejector.PermitID
	for id, claimer := range steward.claims {
		if !claimer.Permit.Held(now) || claimer.MayWrite(now) {
			due = append(due, id)
		}
	}
	return due
}

// claimOne reads the row and writes it if the VM may. A lost answer is settled
// by reading the row again.
func (steward *Steward) claimOne(ctx context.Context, id ejector.PermitID) error {
	if err := steward.look(ctx, id); err != nil {
		return err
	}
	put, condition, wants := steward.begin(id)
	if !wants {
		return nil
	}
	transaction := connector.Transaction{
		ID: rand.Text(), Conditions: []connector.Condition{condition}, Puts: []connector.Put{put},
	}
	_, err := steward.Platform.Transact(ctx, transaction)
	var unknown *connector.LostAnswerError
	if err != nil && !errors.As(err, &unknown) {
		return fmt.Errorf("write permit: %w", err)
	}
	return steward.look(ctx, id)
}

// look reads the row of a permit and takes note of what it says.
func (steward *Steward) look(ctx context.Context, id ejector.PermitID) error {
	row, err := steward.Platform.Row(ctx, rowKey(id))
	if err != nil {
		return fmt.Errorf("read permit: %w", err)
	}
	var claim ejector.Claim
	if row.Version > 0 {
		if err := json.Unmarshal(row.Value, &claim); err != nil {
			return fmt.Errorf("decode permit: %w", err)
		}
	}
	steward.mutex.Lock()
	defer steward.mutex.Unlock()
	claimer := steward.claims[id]
	if claimer == nil {
		return nil
	}
	now := steward.Clock.Reading()
	held := claimer.Permit.Held(now)
	claimer.ObserveRow(row.Version, claim, now)
	if !held && claimer.Permit.Held(now) {
		steward.view.Apply(claimer.Permit.Statement(now), now)
		steward.notify()
		steward.Log.WithField("permit", rowKey(id)).Info("permit-held")
	}
	return nil
}

// begin prepares the write of a row, if the VM may write it.
func (steward *Steward) begin(id ejector.PermitID) (connector.Put, connector.Condition, bool) {
	steward.mutex.Lock()
	defer steward.mutex.Unlock()
	claimer := steward.claims[id]
	now := steward.Clock.Reading()
	if claimer == nil || !claimer.MayWrite(now) {
		return connector.Put{}, connector.Condition{}, false
	}
	value, err := json.Marshal(claimer.BeginWrite(rand.Text(), now))
	if err != nil {
		return connector.Put{}, connector.Condition{}, false
	}
	key := rowKey(id)
	return connector.Put{Key: key, Value: value}, connector.Condition{Key: key, Version: claimer.Version()}, true
}

// stop ends the use of all permits and gives them back.
func (steward *Steward) stop(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	steward.drop()
	steward.giveBack(ctx)
}

func (steward *Steward) drop() {
	steward.mutex.Lock()
	defer steward.mutex.Unlock()
	now := steward.Clock.Reading()
	for id := range steward.claims {
		steward.abandon(id, now)
	}
}

// giveBack releases the permits that are not used any more. Those whose row
// can't be written are free again when their lease ends.
func (steward *Steward) giveBack(ctx context.Context) {
	steward.mutex.Lock()
	unused := steward.unused
	steward.unused = make(map[string]uint64)
	steward.mutex.Unlock()
	for key, version := range unused {
		if err := steward.release(ctx, key, version); err != nil {
			steward.Log.WithError(err).WithField("permit", key).Warn("permit-not-released")
			return
		}
	}
}

func (steward *Steward) release(ctx context.Context, key string, version uint64) error {
	value, err := json.Marshal(ejector.Claim{Holder: steward.Members.Self().Name, Released: true})
	if err != nil {
		return fmt.Errorf("encode permit: %w", err)
	}
	_, err = steward.Platform.Transact(ctx, connector.Transaction{
		ID: rand.Text(), Conditions: []connector.Condition{{Key: key, Version: version}},
		Puts: []connector.Put{{Key: key, Value: value}},
	})
	if err != nil {
		return fmt.Errorf("write permit: %w", err)
	}
	return nil
}
