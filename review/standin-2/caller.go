package main

import (
	"bufio"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"godwitramp.example/platform/faker"
)

var nextID atomic.Uint64

// newID returns the ID of a new attempt.
func newID() string { return fmt.Sprintf("%016x", nextID.Add(1)|1<<60) }

// outcome is how a request ended for its caller.
type outcome struct {
	request faker.Request
	vm      string
	sent    time.Time
	ended   time.Time
	answer  faker.Answer
	// lost is true if the connection ended before a whole answer, and kept if the connection had carried an answer before.
	lost, kept bool
	// late is true if the caller's time passed first.
	late bool
	err  error
}

// caller keeps one connection open, and sends its requests over it one after the other.
type caller struct {
	address    string
	connection net.Conn
	reader     *bufio.Reader
	answered   bool
}

func (caller *caller) close() {
	if caller.connection != nil {
		_ = caller.connection.Close()
		caller.connection = nil
	}
}

// send sends the request and waits for its answer.
func (caller *caller) send(request faker.Request) outcome {
	result := outcome{request: request, sent: time.Now()}
	defer func() { result.ended = time.Now() }()
	if caller.connection == nil {
		connection, err := net.DialTimeout("tcp", caller.address, time.Second)
		if err != nil {
			result.err = err
			result.ended = time.Now()
			return result
		}
		caller.connection, caller.reader, caller.answered = connection, bufio.NewReader(connection), false
	}
	result.kept = caller.answered
	_ = caller.connection.SetDeadline(time.Now().Add(request.Remaining))
	err := request.Write(caller.connection)
	if err == nil {
		result.answer, err = faker.ReadAnswer(caller.reader)
	}
	result.ended = time.Now()
	if err != nil {
		result.err = err
		if time.Since(result.sent) >= request.Remaining {
			result.late = true
		} else {
			result.lost = true
		}
		caller.close()
		return result
	}
	caller.answered = true
	if result.answer.Closes {
		caller.close()
	}
	return result
}
