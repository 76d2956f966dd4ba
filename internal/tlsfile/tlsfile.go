// Package tlsfile builds TLS configurations from PEM files.
package tlsfile

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
)

// LoadCertPool reads a pool of CA certificates.
func LoadCertPool(path string) (*x509.CertPool, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	p := x509.NewCertPool()
	if !p.AppendCertsFromPEM(text) {
		return nil, fmt.Errorf("%s: no PEM certificate found", path)
	}
	return p, nil
}

// ClientConfig returns the configuration for connections to servers. Their certificates must be issued by ca for
// name; cert and key are the client certificate, if given. The minimum version is TLS 1.2.
func ClientConfig(ca, name, cert, key string) (*tls.Config, error) {
	t := &tls.Config{MinVersion: tls.VersionTLS12, ServerName: name}
	var err error
	if t.RootCAs, err = LoadCertPool(ca); err != nil {
		return nil, fmt.Errorf("ca: %w", err)
	}
	if name == "" {
		return nil, errors.New("name: missing; it is the name that the servers' certificates are verified against")
	}
	if cert != "" {
		certificate, err := tls.LoadX509KeyPair(cert, key)
		if err != nil {
			return nil, fmt.Errorf("cert and key: %w", err)
		}
		t.Certificates = []tls.Certificate{certificate}
	}
	return t, nil
}
