// Package certifier loads the certificates by which VMs and operators
// authenticate each other, and creates certificate authorities for tests and
// sample fleets.
//
// # Usage
//
//	config, err := certifier.Load(certifier.Files{Authority: "ca.pem", Certificate: "vm.pem", Key: "vm.key"})
//	config, err = certifier.FromKey(key) // for VMs that share a secret key
package certifier

import (
	"crypto/ecdsa"
	"crypto/ed25519"
	"crypto/elliptic"
	"crypto/hkdf"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"net"
	"os"
	"time"
)

// Files has the paths of the PEM files of a program: the certificate of the
// authority, and the program's own certificate and key.
type Files struct {
	Authority   string
	Certificate string
	Key         string
}

// Load returns a TLS configuration for clients and servers. Each side rejects
// a peer without a certificate of the authority.
func Load(files Files) (*tls.Config, error) {
	certificate, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	if err != nil {
		return nil, fmt.Errorf("load certificate %q with key %q: %w", files.Certificate, files.Key, err)
	}
	authority, err := os.ReadFile(files.Authority)
	if err != nil {
		return nil, fmt.Errorf("load certificate of authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return nil, fmt.Errorf("authority file %q contains no certificate", files.Authority)
	}
	return tlsConfig(certificate, pool), nil
}

func tlsConfig(certificate tls.Certificate, pool *x509.CertPool) *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{certificate},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
	}
}

// certificateKey separates this use of a shared key from all others.
const certificateKey = "certificates of VMs"

var errForeignCertificate = errors.New("the certificate does not belong to the shared key")

// FromKey returns a TLS configuration for clients and servers that have a secret key in common. Each
// side rejects a peer that doesn't have it. Names and dates of certificates don't count.
func FromKey(key []byte) (*tls.Config, error) {
	seed, err := hkdf.Key(sha256.New, key, nil, certificateKey, ed25519.SeedSize)
	if err != nil {
		return nil, fmt.Errorf("derive key of certificates: %w", err)
	}
	privateKey := ed25519.NewKeyFromSeed(seed)
	publicKey := privateKey.Public().(ed25519.PublicKey)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(certificateLifetime)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, publicKey, privateKey)
	if err != nil {
		return nil, fmt.Errorf("sign certificate: %w", err)
	}
	return &tls.Config{
		Certificates:       []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: privateKey}},
		ClientAuth:         tls.RequireAnyClientCert,
		InsecureSkipVerify: true, // VerifyConnection compares the key
		VerifyConnection: func(state tls.ConnectionState) error {
			if len(state.PeerCertificates) == 0 || !publicKey.Equal(state.PeerCertificates[0].PublicKey) {
				return errForeignCertificate
			}
			return nil
		},
		MinVersion: tls.VersionTLS13,
	}, nil
}

// Authority is a certificate authority. It is not safe for concurrent use.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	serial      int64
}

// certificateLifetime is the lifetime of all certificates.
const certificateLifetime = 365 * 24 * time.Hour

// NewAuthority creates an authority with a new key.
func NewAuthority(name string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("generate key of authority: %w", err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(certificateLifetime),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, fmt.Errorf("sign certificate of authority: %w", err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, fmt.Errorf("parse certificate of authority: %w", err)
	}
	return &Authority{certificate: certificate, key: key, serial: 1}, nil
}

// PEM returns the certificate of the authority in PEM form.
func (authority *Authority) PEM() []byte {
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: authority.certificate.Raw})
}

// Issue returns a new certificate for the name and IP addresses, and its key,
// both in PEM form.
func (authority *Authority) Issue(name string, addresses ...net.IP) (certificate, key []byte, err error) {
	privateKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, fmt.Errorf("generate key of %q: %w", name, err)
	}
	authority.serial++
	template := &x509.Certificate{
		SerialNumber: big.NewInt(authority.serial), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(certificateLifetime),
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
		IPAddresses: addresses, DNSNames: []string{name},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, authority.certificate, &privateKey.PublicKey, authority.key)
	if err != nil {
		return nil, nil, fmt.Errorf("sign certificate of %q: %w", name, err)
	}
	keyDER, err := x509.MarshalECPrivateKey(privateKey)
	if err != nil {
		return nil, nil, fmt.Errorf("encode key of %q: %w", name, err)
	}
	certificate = pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	key = pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER})
	return certificate, key, nil
}

// Config issues a certificate and returns the TLS configuration that Load
// would return for it.
func (authority *Authority) Config(name string, addresses ...net.IP) (*tls.Config, error) {
	certificate, key, err := authority.Issue(name, addresses...)
	if err != nil {
		return nil, err
	}
	pair, err := tls.X509KeyPair(certificate, key)
	if err != nil {
		return nil, fmt.Errorf("load certificate and key of %q: %w", name, err)
	}
	pool := x509.NewCertPool()
	pool.AddCert(authority.certificate)
	return tlsConfig(pair, pool), nil
}
