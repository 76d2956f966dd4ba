// Package tlsfile makes TLS configurations of files in PEM.
package tlsfile

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
)

// Pool reads certificates of authorities.
func Pool(path string) (*x509.CertPool, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	p := x509.NewCertPool()
	if !p.AppendCertsFromPEM(text) {
		return nil, fmt.Errorf("%s: no certificate in PEM", path)
	}
	return p, nil
}

// Client is how servers are met: their certificates are of ca and for name; cert and key
// are shown to them, if given. TLS 1.2 is the least.
func Client(ca, name, cert, key string) (*tls.Config, error) {
	t := &tls.Config{MinVersion: tls.VersionTLS12, ServerName: name}
	var err error
	if t.RootCAs, err = Pool(ca); err != nil {
		return nil, fmt.Errorf("ca: %w", err)
	}
	if name == "" {
		return nil, errors.New("name: none given, and the servers' certificates must be for one")
	}
	if cert != "" {
		own, err := tls.LoadX509KeyPair(cert, key)
		if err != nil {
			return nil, fmt.Errorf("cert and key: %w", err)
		}
		t.Certificates = []tls.Certificate{own}
	}
	return t, nil
}
