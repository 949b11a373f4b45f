// Package bufferer reads messages of unknown length into memory, within a limit for all of them
// together.
//
// # Usage
//
//	bufferer := &bufferer.Bufferer{Limit: 40 << 20}
//	data, release, err := bufferer.ReadAll(body)
//	defer release()
package bufferer

import (
	"errors"
	"fmt"
	"io"
	"sync"

	"godwitramp.example/core/rationer"
)

// ErrTooLarge means that all messages exceed the limit, and this one its share of it.
var ErrTooLarge = errors.New("message exceeds its share of the memory limit")

// Bufferer counts the messages that are read. It is safe for concurrent use. Set Limit before.
type Bufferer struct {
	// Limit is in bytes; zero means no limit.
	Limit int64

	mutex    sync.Mutex
	rationer rationer.Rationer
}

// ReadAll reads a message to its end. What it has read counts until release is called, which must
// be done once, also after an error.
func (bufferer *Bufferer) ReadAll(source io.Reader) (data []byte, release func(), err error) {
	bufferer.mutex.Lock()
	bufferer.rationer.Limit = bufferer.Limit
	bufferer.rationer.Begin()
	bufferer.mutex.Unlock()
	message := &message{bufferer: bufferer, source: source}
	data, err = io.ReadAll(message)
	if err != nil {
		return data, message.end, fmt.Errorf("read message: %w", err)
	}
	bufferer.mutex.Lock()
	defer bufferer.mutex.Unlock()
	bufferer.rationer.Finish(message.held)
	return data, message.release, nil
}

// message is a message that is read.
type message struct {
	bufferer *Bufferer
	source   io.Reader
	held     int64
}

// Read reads from the source. It returns ErrTooLarge once the message exceeds its share.
func (message *message) Read(buffer []byte) (int, error) {
	n, err := message.source.Read(buffer)
	message.bufferer.mutex.Lock()
	defer message.bufferer.mutex.Unlock()
	if !message.bufferer.rationer.Grow(message.held, int64(n)) {
		err = ErrTooLarge
	}
	message.held += int64(n)
	return n, err
}

// end removes a message that was not read to its end.
func (message *message) end() {
	message.bufferer.mutex.Lock()
	defer message.bufferer.mutex.Unlock()
	message.bufferer.rationer.End(message.held)
}

// release removes a whole message.
func (message *message) release() {
	message.bufferer.mutex.Lock()
	defer message.bufferer.mutex.Unlock()
	message.bufferer.rationer.Release(message.held)
}
