// Package certifier loads the certificates that VMs and operators prove
// themselves with, and makes an authority for tests and sample fleets.
//
// # Usage
//
//	config, err := certifier.Load(certifier.Files{Authority: "ca.pem", Certificate: "vm.pem", Key: "vm.key"})
package certifier

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"os"
	"time"
)

// Files names the files in PEM form that a program proves itself with.
type Files struct {
	Authority   string
	Certificate string
	Key         string
}

// Load reads the files. The result serves both ends of a connection: each
// end refuses the other without a certificate of the authority.
func Load(files Files) (*tls.Config, error) {
	certificate, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	if err != nil {
		return nil, fmt.Errorf("load certificate %q with key %q: %w", files.Certificate, files.Key, err)
	}
	authority, err := os.ReadFile(files.Authority)
	if err != nil {
		return nil, fmt.Errorf("load authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return nil, fmt.Errorf("authority %q contains no certificate", files.Authority)
	}
	return config(certificate, pool), nil
}

func config(certificate tls.Certificate, pool *x509.CertPool) *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{certificate},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
	}
}

// Authority signs certificates.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	serial      int64
}

const validity = 365 * 24 * time.Hour

// NewAuthority makes an authority with a new key.
func NewAuthority(name string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("make key of authority: %w", err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(validity),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, fmt.Errorf("sign certificate of authority: %w", err)
	}
	certificate, err := x509.ParseCertificate(raw)
	if err != nil {
		return nil, fmt.Errorf("parse certificate of authority: %w", err)
	}
	return &Authority{certificate: certificate, key: key, serial: 1}, nil
}

// PEM returns the certificate of the authority.
func (authority *Authority) PEM() []byte {
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: authority.certificate.Raw})
}

// Issue returns a new certificate and its key in PEM form, valid for the
// name and the IP addresses.
func (authority *Authority) Issue(name string, addresses ...net.IP) (certificate, key []byte, err error) {
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, fmt.Errorf("make key of %q: %w", name, err)
	}
	authority.serial++
	template := &x509.Certificate{
		SerialNumber: big.NewInt(authority.serial), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(validity),
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
		IPAddresses: addresses, DNSNames: []string{name},
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, authority.certificate, &private.PublicKey, authority.key)
	if err != nil {
		return nil, nil, fmt.Errorf("sign certificate of %q: %w", name, err)
	}
	rawKey, err := x509.MarshalECPrivateKey(private)
	if err != nil {
		return nil, nil, fmt.Errorf("encode key of %q: %w", name, err)
	}
	certificate = pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: raw})
	key = pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: rawKey})
	return certificate, key, nil
}

// Config issues a certificate and returns it as Load would.
func (authority *Authority) Config(name string, addresses ...net.IP) (*tls.Config, error) {
	certificate, key, err := authority.Issue(name, addresses...)
	if err != nil {
		return nil, err
	}
	pair, err := tls.X509KeyPair(certificate, key)
	if err != nil {
		return nil, fmt.Errorf("pair certificate of %q: %w", name, err)
	}
	pool := x509.NewCertPool()
	pool.AddCert(authority.certificate)
	return config(pair, pool), nil
}
