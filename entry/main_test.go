package main

import (
	"bytes"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"godwitramp.example/shell/certifier"
)

// settings returns flags that set every required setting, with valid certificates.
func settings(t *testing.T, callers string) []string {
	is := is.New(t)
	authority, err := certifier.NewAuthority("fleet")
	is.NoErr(err)
	certificate, key, err := authority.Issue("vm-01")
	is.NoErr(err)
	directory := t.TempDir()
	for name, data := range map[string][]byte{"ca.pem": authority.PEM(), "vm.pem": certificate, "vm.key": key} {
		is.NoErr(os.WriteFile(filepath.Join(directory, name), data, 0o600))
	}
	var flags []string
	for _, setting := range []string{
		"vm.name=vm-01", "vm.region=kutch", "vm.data-centre=kutch-1", "listen.callers=" + callers,
		"listen.peers=127.0.0.1:0", "listen.operators=127.0.0.1:0", "platform.address=http://127.0.0.1:1",
		"tls.authority=" + directory + "/ca.pem", "tls.certificate=" + directory + "/vm.pem", "tls.key=" + directory + "/vm.key",
	} {
		flags = append(flags, "--set", setting)
	}
	return flags
}

func TestErrorIsPrintedAsOneLine(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	defer func() { _ = listener.Close() }()
	address := listener.Addr().String()
	valid := settings(t, address)
	tests := []struct {
		name      string
		arguments []string
		code      int
		problem   string
	}{
		{"good", append([]string{"--check"}, valid...), 0, ""},
		{"port in use", valid, 1, "entry: listen for callers: listen tcp " + address + ": bind: address already in use\n"},
		{"missing setting", append([]string{"--check"}, valid[2:]...), 2,
			"entry: settings: [vm] name: is missing; allowed: a name of lower-case letters, digits and hyphens\n"},
		{"no certificate", append([]string{"--check"}, append(valid[:len(valid)-2:len(valid)-2], "--set", "tls.key=none.key")...), 2, "none.key"},
		{"no file", []string{"--settings", "none.ini"}, 2, "entry: read settings: open none.ini: no such file or directory\n"},
		{"unknown flag", []string{"--chek"}, 2, "entry: unknown flag `chek'\n"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var out, problems bytes.Buffer
			program := program{stdout: &out, stderr: &problems}
			is.Equal(program.run(t.Context(), test.arguments), test.code)
			is.True(strings.Contains(problems.String(), test.problem))
			is.Equal(strings.Count(problems.String(), "\n"), min(1, len(test.problem)))
		})
	}
}
