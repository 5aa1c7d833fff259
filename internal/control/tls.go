package control

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/rotisserie/eris"
)

// Files names the PEM files of a process: its certificate, its key, and the certificates of the authority that
// signs those of all processes.
type Files struct {
	Certificate string
	Key         string
	Authority   string
}

// Credentials are the loaded Files.
type Credentials struct {
	certificate tls.Certificate
	// public is the certificate for callers.
	public    tls.Certificate
	authority *x509.CertPool
}

// LoadCredentials reads and checks the files.
func LoadCredentials(files Files) (*Credentials, error) {
	pair, err := LoadPair(files)
	if err != nil {
		return nil, err
	}
	pem, err := os.ReadFile(files.Authority)
	if err != nil {
		return nil, eris.Wrap(err, "load authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, eris.Errorf("load authority: %s holds no certificate", files.Authority)
	}
	return &Credentials{certificate: pair, public: pair, authority: pool}, nil
}

// LoadPair reads a certificate and its key. The authority of files is not used.
func LoadPair(files Files) (tls.Certificate, error) {
	pair, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	return pair, eris.Wrapf(err, "load certificate %s with key %s", files.Certificate, files.Key)
}

// SetPublic sets the certificate for callers.
func (c *Credentials) SetPublic(pair tls.Certificate) {
	c.public = pair
}

// ServerName is the DNS name that the certificates of all processes carry.
const ServerName = "gentianswitch.internal"

// Server returns the TLS settings of a control listener. Clients must present a certificate of the authority.
func (c *Credentials) Server() *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{c.certificate},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    c.authority,
	}
}

// Client returns the TLS settings of an outgoing control connection.
func (c *Credentials) Client() *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{c.certificate},
		RootCAs:      c.authority,
		ServerName:   ServerName,
	}
}

// Public returns the TLS settings of the listener for callers, which present no certificate.
func (c *Credentials) Public() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{c.public}}
}
