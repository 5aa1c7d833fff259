// Package certificates creates short-lived certificates and keys for tests and the demo.
package certificates

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"

	"gentianswitch/internal/control"
	"gentianswitch/internal/keys"
)

// Names of the files that Write creates.
const (
	AuthorityFile   = "authority.pem"
	CertificateFile = "certificate.pem"
	KeyFile         = "certificate-key.pem"
	KeysFile        = "keys.yaml"
)

const (
	validity = 24 * time.Hour
	fileMode = 0o600
	dirMode  = 0o700
	// serialRange is the number of serial numbers from which those of certificates are drawn.
	serialRange = 1 << 62
)

// Write creates in dir a certificate authority, one certificate for all processes, and a key file with one key.
func Write(dir string) error {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return eris.Wrap(err, "make directory")
	}
	authorityKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return eris.Wrap(err, "generate authority key")
	}
	authority := template("gentianswitch demo authority")
	authority.IsCA = true
	authority.BasicConstraintsValid = true
	authority.KeyUsage = x509.KeyUsageCertSign
	if err := sign(filepath.Join(dir, AuthorityFile), authority, authority, authorityKey, authorityKey); err != nil {
		return err
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return eris.Wrap(err, "generate key")
	}
	leaf := template("gentianswitch demo")
	leaf.DNSNames = []string{control.ServerName, "localhost"}
	leaf.IPAddresses = []net.IP{net.IPv4(127, 0, 0, 1)}
	leaf.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	if err := sign(filepath.Join(dir, CertificateFile), leaf, authority, key, authorityKey); err != nil {
		return err
	}
	if err := writeKey(filepath.Join(dir, KeyFile), key); err != nil {
		return err
	}
	return WriteKeys(filepath.Join(dir, KeysFile), 1, 1)
}

func template(name string) *x509.Certificate {
	serial, err := rand.Int(rand.Reader, big.NewInt(serialRange))
	if err != nil {
		serial = big.NewInt(1)
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(validity),
		KeyUsage:     x509.KeyUsageDigitalSignature,
	}
}

// sign writes to path a certificate for key that parentKey has signed.
func sign(path string, leaf, parent *x509.Certificate, key, parentKey *ecdsa.PrivateKey) error {
	raw, err := x509.CreateCertificate(rand.Reader, leaf, parent, &key.PublicKey, parentKey)
	if err != nil {
		return eris.Wrap(err, "sign certificate")
	}
	return writePEM(path, "CERTIFICATE", raw)
}

func writeKey(path string, key *ecdsa.PrivateKey) error {
	raw, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return eris.Wrap(err, "encode key")
	}
	return writePEM(path, "PRIVATE KEY", raw)
}

func writePEM(path, kind string, raw []byte) error {
	block := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: raw})
	return eris.Wrapf(os.WriteFile(path, block, fileMode), "write %s", path)
}

// WriteKeys creates a key file with count random keys, numbered from 1. The key with the number current is the one that
// processes use for new connection IDs and envelopes.
func WriteKeys(path string, count, current int) error {
	text := fmt.Sprintf("current: %d\nkeys:\n", current)
	for id := 1; id <= count; id++ {
		secret := make([]byte, keys.SecretSize)
		if _, err := rand.Read(secret); err != nil {
			return eris.Wrap(err, "generate secret")
		}
		text += fmt.Sprintf("  - id: %d\n    secret: %x\n", id, secret)
	}
	return eris.Wrapf(os.WriteFile(path, []byte(text), fileMode), "write %s", path)
}
