package forwarder_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"godwitramp.example/core/router"
	"godwitramp.example/entry/internal/forwarder"
)

const rejection = "HTTP/1.1 503 Busy\r\nGodwitramp-Outcome: not-run\r\nContent-Length: 0\r\n\r\n"

// delivery is a request that has reached a target: the n-th of all, and the n-th on its connection.
type delivery struct {
	net.Conn
	request              *http.Request
	number, onConnection int
}

func (delivery delivery) write(answer string) { _, _ = io.WriteString(delivery.Conn, answer) }

func unnamed(text string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
}

// play returns a forwarder that delivers all requests to the function. It runs those that the function counts.
func (fleet *fleet) play(t *testing.T, serve func(delivery)) *forwarder.Forwarder {
	t.Cleanup(func() { time.Sleep(time.Minute) }) // the target's runs end
	sender := fleet.forwarder()
	sender.Exchanger.Dial = func(context.Context, string, string) (net.Conn, error) {
		clientConn, serverConn := net.Pipe()
		go func() {
			defer func() { _ = serverConn.Close() }()
			reader := bufio.NewReader(serverConn)
			for onConnection := 1; ; onConnection++ {
				time.Sleep(time.Millisecond) // so long does a write take
				request, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, request.Body)
				fleet.count(nil, 1)
				fleet.mutex.Lock()
				number := fleet.received
				fleet.mutex.Unlock()
				serve(delivery{Conn: serverConn, request: request, number: number, onConnection: onConnection})
			}
		}()
		return clientConn, nil
	}
	return sender
}

// A target rejects a request, and writes the rejection again while it runs the next attempt.
func TestCopyOfUnnamedRejectionIsBelieved(t *testing.T) {
	for _, method := range []string{"POST", "GET"} {
		t.Run(method, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				fleet := &fleet{faults: []fault{healthy}}
				sender := fleet.play(t, func(delivery delivery) {
					if delivery.number == 1 {
						delivery.write(rejection)
						return
					}
					fleet.count(delivery.request, 0)
					if delivery.onConnection > 1 {
						delivery.write(rejection)
					}
					time.Sleep(200 * time.Millisecond)
					delivery.write(unnamed("whole\n"))
				})
				answer := fleet.forward(t, sender, httptest.NewRequest(method, "/x", nil))
				t.Logf("%d %q, %d runs", answer.StatusCode, answer.Header.Get(forwarder.OutcomeHeader), fleet.runs)
				is.Equal(answer.StatusCode, 200)
				is.Equal(fleet.runs, 1)
			})
		})
	}
}

func (delivery delivery) id() string { return delivery.request.Header.Get(forwarder.RequestIDHeader) }

// withID adds an ID to an answer.
func withID(answer, id string) string {
	return strings.Replace(answer, "\r\n", "\r\n"+forwarder.RequestIDHeader+": "+id+"\r\n", 1)
}

// A target that names requests answers twice; the second answer comes during the next call on the connection.
func TestCopyOfNamedAnswerTakesThePlaceOfTheTrueOne(t *testing.T) {
	for name, first := range map[string]string{"rejection": rejection, "success": unnamed("other\n"), "leaving": leavingAnswer} {
		for _, method := range []string{"POST", "GET"} {
			t.Run(name+" "+method, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					fleet := &fleet{faults: []fault{healthy}}
					copied := ""
					sender := fleet.play(t, func(delivery delivery) {
						if delivery.number == 1 {
							copied = withID(first, delivery.id())
							delivery.write(copied)
							return
						}
						fleet.count(delivery.request, 0)
						if delivery.onConnection > 1 {
							delivery.write(copied)
						}
						time.Sleep(200 * time.Millisecond)
						delivery.write(withID(unnamed("whole\n"), delivery.id()))
					})
					if first != rejection {
						sender.Forward(httptest.NewRecorder(), httptest.NewRequest(method, "/x", nil), forwarder.Job{Service: fleet.service(), RequestID: "other"})
					}
					answer := fleet.forward(t, sender, httptest.NewRequest(method, "/x", nil))
					body, err := io.ReadAll(answer.Body)
					is.NoErr(err)
					t.Logf("%d %q, %d runs", answer.StatusCode, answer.Header.Get(forwarder.OutcomeHeader), fleet.runs)
					is.Equal(answer.StatusCode, 200)
					is.Equal(string(body), "whole\n")
					is.Equal(fleet.runs, 1)
				})
			})
		}
	}
}

const leavingAnswer = "HTTP/1.1 200 OK\r\nGodwitramp-Leaving: yes\r\nContent-Length: 6\r\n\r\nother\n"

// A target answers the first request, and from then on with the IDs of others.
func TestCrossedAnswersOnAKeptConnectionAreNoEvidence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fleet := &fleet{faults: []fault{healthy}}
		sender := fleet.play(t, func(delivery delivery) {
			fleet.count(delivery.request, 0)
			id := delivery.id()
			if delivery.number > 1 {
				id = "crossed"
			}
			delivery.write(withID(unnamed("other\n"), id))
		})
		sender.Forward(httptest.NewRecorder(), httptest.NewRequest("POST", "/x", nil), forwarder.Job{Service: fleet.service(), RequestID: "other"})
		answer := fleet.forward(t, sender, httptest.NewRequest("POST", "/x", nil))
		is.Equal(answer.StatusCode, 502)
		is.Equal(answer.Header.Get(forwarder.OutcomeHeader), "unknown")
		is.Equal(fleet.results[1].Kind, router.WrongAnswer)
	})
}

// A HEAD request can't tell the body of another request's answer from the next answer.
func TestBodyOfACopyIsTakenForAnAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fleet := &fleet{faults: []fault{healthy}}
		copied := ""
		sender := fleet.play(t, func(delivery delivery) {
			fleet.count(delivery.request, 0)
			if delivery.number == 1 {
				copied = withID(unnamed(rejection), delivery.id())
				delivery.write(copied)
				return
			}
			if delivery.onConnection > 1 {
				delivery.write(copied)
			}
			delivery.write(withID(unnamed(""), delivery.id()))
		})
		sender.Forward(httptest.NewRecorder(), httptest.NewRequest("GET", "/x", nil), forwarder.Job{Service: fleet.service(), RequestID: "other"})
		answer := fleet.forward(t, sender, httptest.NewRequest("HEAD", "/x", nil))
		is.Equal(fleet.runs, 2)
		is.Equal(answer.StatusCode, 502)
		is.Equal(answer.Header.Get(forwarder.OutcomeHeader), "unknown")
	})
}

// The true answer follows another's during the next call, unless the connection is closed.
func TestAnswerBehindAnothersReachesTheNextRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fleet := &fleet{faults: []fault{healthy}}
		sender := fleet.play(t, func(delivery delivery) {
			fleet.count(delivery.request, 0)
			if delivery.number == 1 {
				delivery.write(withID(unnamed("crossed\n"), "crossed"))
				return
			}
			if delivery.onConnection > 1 {
				delivery.write(unnamed("other\n"))
			}
			delivery.write(unnamed("whole\n"))
		})
		sender.Forward(httptest.NewRecorder(), httptest.NewRequest("POST", "/x", nil), forwarder.Job{Service: fleet.service(), RequestID: "other"})
		body, err := io.ReadAll(fleet.forward(t, sender, httptest.NewRequest("POST", "/x", nil)).Body)
		is.NoErr(err)
		is.Equal(string(body), "whole\n")
	})
}

// A target that names no request answers the first one twice; the answers to the next two come one call late.
func TestUnnamedRejectionOfTheRequestBeforeIsBelieved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fleet := &fleet{faults: []fault{healthy}}
		answers := []string{unnamed("first\n"), unnamed("first\n"), strings.Replace(rejection, "\r\n", "\r\nRetry-After: 1\r\n", 1)}
		sender := fleet.play(t, func(delivery delivery) {
			if delivery.number > 2 {
				fleet.count(delivery.request, 0)
			}
			delivery.write(answers[delivery.onConnection-1])
		})
		for range 2 {
			sender.Forward(httptest.NewRecorder(), httptest.NewRequest("POST", "/x", nil), forwarder.Job{Service: fleet.service(), RequestID: "other"})
		}
		answer := fleet.forward(t, sender, httptest.NewRequest("POST", "/x", nil))
		t.Logf("%d %q, %d runs", answer.StatusCode, answer.Header.Get(forwarder.OutcomeHeader), fleet.runs)
		is.Equal(fleet.runs, 1)
		is.Equal(answer.StatusCode, 503)
		is.Equal(answer.Header.Get(forwarder.OutcomeHeader), "unknown")
		is.Equal(answer.Header.Get("Retry-After"), "")
	})
}

// A full target that names no request rejects two on a connection that has carried an answer.
func TestUnnamedRejectionOfAReadIsNotRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fleet := &fleet{faults: []fault{healthy}}
		sender := fleet.play(t, func(delivery delivery) {
			if delivery.number == 2 || delivery.number == 3 {
				delivery.write(rejection)
				return
			}
			fleet.count(delivery.request, 0)
			delivery.write(unnamed("whole\n"))
		})
		sender.Forward(httptest.NewRecorder(), httptest.NewRequest("GET", "/x", nil), forwarder.Job{Service: fleet.service(), RequestID: "other"})
		answer := fleet.forward(t, sender, httptest.NewRequest("GET", "/x", nil))
		is.Equal(answer.StatusCode, 200)
		is.Equal(fleet.runs, 2)
	})
}
