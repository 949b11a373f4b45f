package messenger

import (
	"bytes"
	"net/netip"
)

// ConfirmKey takes in that the store had the key in an era. If it is another than the one in
// use, messages are encrypted with it from now on, except to VMs that may not know it yet.
// These are told it, and their messages are still opened.
func (messenger *Messenger) ConfirmKey(era uint64, key []byte) {
	messenger.mutex.Lock()
	_, before := messenger.sealer.current()
	changed, err := messenger.sealer.confirm(era, key)
	if changed {
		messenger.keepBehind(before, key)
	}
	messenger.mutex.Unlock()
	if err != nil {
		messenger.Log.WithError(err).Error("key-malformed")
	}
	if changed {
		messenger.Log.WithField("era", era).Warn("key-changed")
	}
}

// keepBehind remembers that the VMs known so far may only know the key used before. The
// caller holds the mutex.
func (messenger *Messenger) keepBehind(before, key []byte) {
	behind := make(map[netip.AddrPort][]byte)
	add := func(address netip.AddrPort) {
		known := messenger.behind[address]
		if known == nil {
			known = before
		}
		if !bytes.Equal(known, key) {
			behind[address] = known
		}
	}
	for _, peer := range messenger.peers {
		add(peer.address)
	}
	for _, contacts := range messenger.contacts {
		for _, address := range contacts {
			add(address)
		}
	}
	messenger.behind = behind
}

// receiveKey takes in which key the sender of a message knows, and which era of the store.
func (messenger *Messenger) receiveKey(message message) {
	if len(message.Key) > 0 {
		messenger.ConfirmKey(message.Era, message.Key)
	}
	address, err := netip.ParseAddrPort(message.Address)
	messenger.mutex.Lock()
	defer messenger.mutex.Unlock()
	messenger.heardEra = max(messenger.heardEra, message.Era)
	if err != nil || message.sealedWith == nil {
		return
	}
	_, current := messenger.sealer.current()
	if bytes.Equal(message.sealedWith, current) || bytes.Equal(message.Key, current) {
		delete(messenger.behind, address)
	} else {
		messenger.behind[address] = message.sealedWith
	}
}

// byKey groups addresses by the newest key that the VMs there are sure to know.
func (messenger *Messenger) byKey(addresses []netip.AddrPort) map[string][]netip.AddrPort {
	messenger.mutex.Lock()
	defer messenger.mutex.Unlock()
	_, current := messenger.sealer.current()
	if len(addresses) == 0 {
		return nil
	}
	if len(messenger.behind) == 0 {
		return map[string][]netip.AddrPort{string(current): addresses}
	}
	byKey := make(map[string][]netip.AddrPort)
	for _, address := range addresses {
		key := messenger.behind[address]
		if key == nil {
			key = current
		}
		byKey[string(key)] = append(byKey[string(key)], address)
	}
	return byKey
}

// CurrentKey returns the key that is in use.
func (messenger *Messenger) CurrentKey() []byte {
	_, key := messenger.sealer.current()
	return key
}

// Era returns the newest era of the store that this VM or another has heard of.
func (messenger *Messenger) Era() uint64 {
	messenger.mutex.Lock()
	era := messenger.heardEra
	messenger.mutex.Unlock()
	if messenger.StoreEra != nil {
		era = max(era, messenger.StoreEra())
	}
	return era
}

// restoredEra returns the era for messages: zero, which is left out, if the store was never
// restored.
func (messenger *Messenger) restoredEra() uint64 {
	if era := messenger.Era(); era > 1 {
		return era
	}
	return 0
}
