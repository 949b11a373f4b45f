package logger_test

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"godwitramp.example/shell/logger"
)

func TestRepeatedEventsAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var out bytes.Buffer
		log := logger.New(&out, "entry", "vm-01")
		for range 50 {
			log.Warn("store-poll-failed")
		}
		is.Equal(strings.Count(out.String(), "\n"), 20)
		time.Sleep(10 * time.Second)
		out.Reset()
		log.WithField("peer", "vm-02").Info("peer-lost")
		is.Equal(out.String(), `time="2000-01-01T00:00:10Z" level=warning event=event-suppressed count=30 name=vm-01 program=entry suppressed-event=store-poll-failed`+"\n"+
			`time="2000-01-01T00:00:10Z" level=info event=peer-lost name=vm-01 peer=vm-02 program=entry`+"\n")
		out.Reset()
		log.Warn("store-poll-failed")
		is.Equal(out.String(), `time="2000-01-01T00:00:10Z" level=warning event=store-poll-failed name=vm-01 program=entry`+"\n")
	})
}

func TestSecretsAndLongValuesAreNotLogged(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	log := logger.New(&out, "entry", "vm-01")
	log.WithField("key", "hunter2").WithField("Authorization", "hunter2").WithField("body", "hunter2").Info("one")
	log.WithError(errors.New(`Get "http://t/a?api-key=hunter2&b=c": EOF`)).Info("two")
	log.WithError(errors.New("header Authorization: Bearer hunter2 refused")).Info("X-Api-Key: hunter2")
	log.WithField("text", "two\nlines "+strings.Repeat("x", 5000)).Info("three")
	is.True(!strings.Contains(out.String(), "hunter2"))
	is.Equal(strings.Count(out.String(), "\n"), 4)
	is.True(out.Len() < 2500)
	is.True(strings.Contains(out.String(), "b=c"))
}
