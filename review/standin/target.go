package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"godwitramp.example/platform/faker"
)

// target answers as faker.Target does, over connections that the case can disturb.
type target struct {
	faker.Target
	// refusalDelay is how long a rejection takes.
	refusalDelay time.Duration
	// repeat, if set, is asked after each answer whether the target sends it once more, and how much
	// later.
	repeat func(request *http.Request, status int) (time.Duration, bool)

	listener net.Listener
	mutex    sync.Mutex
	answers  int
	copies   int
	opened   []net.Conn
}

func (target *target) open() error {
	var err error
	target.listener, err = listen()
	if err != nil {
		return err
	}
	go func() {
		for {
			connection, err := target.listener.Accept()
			if err != nil {
				return
			}
			target.mutex.Lock()
			target.opened = append(target.opened, connection)
			target.mutex.Unlock()
			go target.serve(connection)
		}
	}()
	return nil
}

// exit ends the target: it accepts no connections, and those that are open end.
func (target *target) exit() {
	_ = target.listener.Close()
	target.mutex.Lock()
	defer target.mutex.Unlock()
	for _, connection := range target.opened {
		_ = connection.Close()
	}
}

// serve answers the requests of a connection one at a time.
func (target *target) serve(connection net.Conn) {
	defer func() { _ = connection.Close() }()
	var writes sync.Mutex
	reader := bufio.NewReader(connection)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		request.Body = io.NopCloser(bytes.NewReader(body))
		recorder := httptest.NewRecorder()
		target.ServeHTTP(recorder, request)
		response := recorder.Result()
		if response.StatusCode == http.StatusServiceUnavailable {
			time.Sleep(target.refusalDelay)
		}
		answer := encode(response, recorder.Body.Bytes())
		target.mutex.Lock()
		target.answers++
		target.mutex.Unlock()
		if target.repeat != nil {
			if delay, again := target.repeat(request, response.StatusCode); again {
				target.mutex.Lock()
				target.copies++
				target.mutex.Unlock()
				time.AfterFunc(delay, func() {
					writes.Lock()
					defer writes.Unlock()
					_, _ = connection.Write(answer)
				})
			}
		}
		writes.Lock()
		_, err = connection.Write(answer)
		writes.Unlock()
		if err != nil {
			return
		}
	}
}

// counts returns how many answers the target has sent, and how many of them a second time.
func (target *target) counts() (answers, copies int) {
	target.mutex.Lock()
	defer target.mutex.Unlock()
	return target.answers, target.copies
}

func encode(response *http.Response, body []byte) []byte {
	var buffer bytes.Buffer
	fmt.Fprintf(&buffer, "HTTP/1.1 %d %s\r\n", response.StatusCode, http.StatusText(response.StatusCode))
	response.Header.Set("Content-Length", fmt.Sprint(len(body)))
	_ = response.Header.Write(&buffer) // never fails
	buffer.WriteString("\r\n")
	buffer.Write(body)
	return buffer.Bytes()
}
