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

// certCheckInterval is the minimum time between two checks of the files; a check is made
// only when a connection arrives.
const certCheckInterval = time.Second

// certs holds the certificates of a listener. They are reloaded when a file has changed; if
// the new files are invalid, the previous certificates stay in use.
type certs struct {
	opt *Config

	mu        sync.Mutex
	lastCheck time.Time
	modified  time.Time // latest modification time among the loaded files
	current   *tls.Config
}

func loadCerts(c *Config) (*certs, error) {
	s := &certs{opt: c}
	at, err := s.lastModified()
	if err == nil {
		s.current, err = s.load()
	}
	s.modified, s.lastCheck = at, time.Now()
	return s, err
}

// lastModified returns the latest modification time of the files.
func (s *certs) lastModified() (at time.Time, err error) {
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

func (s *certs) load() (*tls.Config, error) {
	t := &tls.Config{MinVersion: tls.VersionTLS12, NextProtos: []string{"h2", "http/1.1"}}
	var errs []error
	for i, c := range s.opt.Cert {
		pair, err := tls.LoadX509KeyPair(c.Cert, c.Key)
		if err != nil {
			errs = append(errs, fmt.Errorf("cert[%d]: %w", i+1, err))
			continue
		}
		t.Certificates = append(t.Certificates, pair)
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

// listenerConfig returns the TLS configuration of the listener. Each connection uses the
// certificates that are current when it arrives, selected by its server name.
func (s *certs) listenerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12, NextProtos: []string{"h2", "http/1.1"},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return s.currentConfig(), nil },
	}
}

func (s *certs) currentConfig() *tls.Config {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.lastCheck) < certCheckInterval {
		return s.current
	}
	s.lastCheck = time.Now()
	if at, err := s.lastModified(); err == nil && at.After(s.modified) {
		if t, err := s.load(); err == nil {
			s.current, s.modified = t, at
		}
	}
	return s.current
}
