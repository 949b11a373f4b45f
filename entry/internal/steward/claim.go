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
	// claimPeriod is the interval between reads of the permits' rows. A permit
	// that isn't held is read each time, a held one only when due for renewal.
	claimPeriod = 10 * time.Second
	// initialClaimDelay gives the VM time to discover its peers: a VM that knows
	// no other would claim every permit.
	initialClaimDelay = 3 * time.Second
	rowPrefix         = "ejection"
)

func rowKey(id ejector.PermitID) string {
	return fmt.Sprintf("%s%s/%s/%d", rowPrefix, id.Group.Service, id.Group.Region, id.Index)
}

// claimLoop claims and renews the permits of this VM until the context ends.
func (steward *Steward) claimLoop(ctx context.Context) {
	timer := time.NewTimer(initialClaimDelay)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		steward.releaseUnused(ctx)
		steward.claimDue(ctx)
		timer.Reset(claimPeriod)
	}
}

// claimDue claims each permit that isn't held and renews those that are due. It
// stops at the first error, since the store is likely unavailable for all.
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

// claimOne reads the row and writes it if the VM may. Reading the row again
// resolves a write whose answer was lost.
func (steward *Steward) claimOne(ctx context.Context, id ejector.PermitID) error {
	if err := steward.readRow(ctx, id); err != nil {
		return err
	}
	put, condition, mayWrite := steward.beginWrite(id)
	if !mayWrite {
		return nil
	}
	transaction := connector.Transaction{
		ID: rand.Text(), Conditions: []connector.Condition{condition}, Puts: []connector.Put{put},
	}
	_, err := steward.Platform.Transact(ctx, transaction)
	var lostAnswer *connector.LostAnswerError
	if err != nil && !errors.As(err, &lostAnswer) {
		return fmt.Errorf("write permit: %w", err)
	}
	return steward.readRow(ctx, id)
}

// readRow reads the row of a permit and updates the claim.
func (steward *Steward) readRow(ctx context.Context, id ejector.PermitID) error {
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
		steward.scheduleNotice()
		steward.Log.WithField("permit", rowKey(id)).Info("permit-held")
	}
	return nil
}

// beginWrite prepares the write of a row and reports whether the VM may write.
func (steward *Steward) beginWrite(id ejector.PermitID) (connector.Put, connector.Condition, bool) {
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

// stop ends the use of all permits and releases them.
func (steward *Steward) stop(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	steward.abandonAll()
	steward.releaseUnused(ctx)
}

func (steward *Steward) abandonAll() {
	steward.mutex.Lock()
	defer steward.mutex.Unlock()
	now := steward.Clock.Reading()
	for id := range steward.claims {
		steward.abandon(id, now)
	}
}

// releaseUnused releases the permits that are no longer used. A permit whose row
// can't be written becomes free when its lease ends.
func (steward *Steward) releaseUnused(ctx context.Context) {
	steward.mutex.Lock()
	unreleased := steward.unreleased
	steward.unreleased = make(map[string]uint64)
	steward.mutex.Unlock()
	for key, version := range unreleased {
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
