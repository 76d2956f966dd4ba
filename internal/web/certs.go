package web

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"otterstep/internal/tlsfile"
)

// certsEvery is how often files are looked at, when connections come.
const certsEvery = time.Second

// certs are a listener's certificates. They are read again when a file has changed; files
// that can't be used leave the old ones in place.
type certs struct {
	opt *Config

	mu      sync.Mutex
	looked  time.Time
	changed time.Time // the latest change of a file that was read
	current *tls.Config
}

func loadCerts(c *Config) (*certs, error) {
	s := &certs{opt: c}
	at, err := s.latest()
	if err == nil {
		s.current, err = s.read()
	}
	s.changed, s.looked = at, time.Now()
	return s, err
}

// latest gives when a file last changed.
func (s *certs) latest() (at time.Time, err error) {
	paths := []string{s.opt.ClientCA}
	for _, c := range s.opt.Cert {
		paths = append(paths, c.Cert, c.Key)
	}
	for _, path := range paths {
		if path == "" {
			continue
		}
		info, err := os.Stat(path)
		if err != nil {
			return at, err
		}
		if info.ModTime().After(at) {
			at = info.ModTime()
		}
	}
	return at, nil
}

func (s *certs) read() (*tls.Config, error) {
	t := &tls.Config{MinVersion: tls.VersionTLS12, NextProtos: []string{"h2", "http/1.1"}}
	var errs []error
	for i, c := range s.opt.Cert {
		one, err := tls.LoadX509KeyPair(c.Cert, c.Key)
		if err != nil {
			errs = append(errs, fmt.Errorf("cert[%d]: %w", i+1, err))
			continue
		}
		t.Certificates = append(t.Certificates, one)
	}
	if s.opt.ClientCA != "" {
		var err error
		var roots *x509.CertPool
		if roots, err = tlsfile.LoadCertPool(s.opt.ClientCA); err != nil {
			errs = append(errs, fmt.Errorf("client_ca: %w", err))
		}
		t.ClientAuth, t.ClientCAs = tls.RequireAndVerifyClientCert, roots
	}
	return t, errors.Join(errs...)
}

// config gives the configuration of the listener: each connection takes the certificates
// that are good when it comes, by the name that it asks for.
func (s *certs) config() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12, NextProtos: []string{"h2", "http/1.1"},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return s.now(), nil },
	}
}

func (s *certs) now() *tls.Config {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.looked) < certsEvery {
		return s.current
	}
	s.looked = time.Now()
	if at, err := s.latest(); err == nil && at.After(s.changed) {
		if t, err := s.read(); err == nil {
			s.current, s.changed = t, at
		}
	}
	return s.current
}
