package control

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/rotisserie/eris"
)

// Files holds the paths of the PEM files of a process: its certificate, its key, and the certificates of the authority that
// signs the certificates of all processes.
type Files struct {
	Certificate string
	Key         string
	Authority   string
}

// Credentials are the certificates and the key that are loaded from Files.
type Credentials struct {
	certificate tls.Certificate
	// publicCertificate is presented to callers.
	publicCertificate tls.Certificate
	authority         *x509.CertPool
}

// LoadCredentials reads the files. Callers get the same certificate as other processes until SetPublicCertificate is called.
func LoadCredentials(files Files) (*Credentials, error) {
	pair, err := LoadKeyPair(files)
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
	return &Credentials{certificate: pair, publicCertificate: pair, authority: pool}, nil
}

// LoadKeyPair reads the certificate and the key of files. The authority is not read.
func LoadKeyPair(files Files) (tls.Certificate, error) {
	pair, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	return pair, eris.Wrapf(err, "load certificate %s with key %s", files.Certificate, files.Key)
}

// SetPublicCertificate sets the certificate that callers are presented.
func (c *Credentials) SetPublicCertificate(pair tls.Certificate) {
	c.publicCertificate = pair
}

// ServerName is the DNS name in the certificates of all processes.
const ServerName = "gentianswitch.internal"

// Server returns the TLS settings of a control listener. Clients must present a certificate that the authority has signed.
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

// Public returns the TLS settings of the listener for callers. Callers present no certificate.
func (c *Credentials) Public() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{c.publicCertificate}}
}
