// Package pki issues and verifies the certificates of a fleet: one certificate
// authority, one certificate for each agent and each operator. A certificate's common
// name is its holder's name, its organizational unit the role. TLS is 1.3 (RFC 8446)
// and mutual.
package pki

import (
	"crypto"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"time"

	"otterstep/internal/tlsfile"
)

// Roles.
const (
	Viewer   = "viewer"   // may read
	Operator = "operator" // may read and send commands
	Agent    = "agent"    // serves tools; sends commands to other agents under a duty that it owns
)

const (
	caValidity = 10 * 365 * 24 * time.Hour
	// clockSkew is how long before its issue a certificate is already valid, as clocks differ.
	clockSkew = 5 * time.Minute

	caCert, caKey = "ca.pem", "ca.key"
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._@-]{0,62}$`)

// Init creates a certificate authority in a directory: ca.pem, to be distributed, and
// ca.key, to be kept secret. It overwrites no file.
func Init(folder, name string, now time.Time) error {
	if !namePattern.MatchString(name) {
		return fmt.Errorf("pki: %q is not a valid name", name)
	}
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return fmt.Errorf("pki: %w", err)
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return fmt.Errorf("pki: %w", err)
	}
	c, err := template(name, "authority", now, caValidity)
	if err != nil {
		return err
	}
	c.IsCA, c.BasicConstraintsValid, c.MaxPathLenZero = true, true, true
	c.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, c, c, key.Public(), key)
	if err != nil {
		return fmt.Errorf("pki: %w", err)
	}
	return saveKeyPair(filepath.Join(folder, caCert), filepath.Join(folder, caKey), der, key)
}

// Request describes a certificate to issue.
type Request struct {
	Name     string
	Role     string
	Hosts    []string // for role Agent: the host names and addresses at which tools reach it
	ValidFor time.Duration
}

// Issue creates NAME.pem and NAME.key in the authority's directory. It overwrites no file.
func Issue(folder string, r Request, now time.Time) error {
	switch {
	case !namePattern.MatchString(r.Name) || r.Name == "ca":
		return fmt.Errorf("pki: %q is not a valid name", r.Name)
	case !slices.Contains([]string{Viewer, Operator, Agent}, r.Role):
		return fmt.Errorf("pki: unknown role %q: %s, %s or %s", r.Role, Viewer, Operator, Agent)
	case r.Role == Agent && len(r.Hosts) == 0:
		return errors.New("pki: an agent's certificate needs the host names or addresses at which tools reach it")
	case r.Role != Agent && len(r.Hosts) > 0:
		return fmt.Errorf("pki: a certificate for a %s has no host names or addresses", r.Role)
	case r.ValidFor <= 0:
		return fmt.Errorf("pki: validity of %v is not positive", r.ValidFor)
	}
	ca, err := tls.LoadX509KeyPair(filepath.Join(folder, caCert), filepath.Join(folder, caKey))
	if err != nil {
		return fmt.Errorf("pki: authority: %w", err)
	}
	c, err := template(r.Name, r.Role, now, r.ValidFor)
	if err != nil {
		return err
	}
	c.KeyUsage = x509.KeyUsageDigitalSignature
	c.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}
	if r.Role == Agent {
		// An agent is also a client of other agents: for the council and for a duty's orders.
		c.ExtKeyUsage = append(c.ExtKeyUsage, x509.ExtKeyUsageServerAuth)
	}
	for _, host := range r.Hosts {
		if ip := net.ParseIP(host); ip != nil {
			c.IPAddresses = append(c.IPAddresses, ip)
		} else {
			c.DNSNames = append(c.DNSNames, host)
		}
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return fmt.Errorf("pki: %w", err)
	}
	der, err := x509.CreateCertificate(rand.Reader, c, ca.Leaf, key.Public(), ca.PrivateKey.(crypto.Signer))
	if err != nil {
		return fmt.Errorf("pki: %w", err)
	}
	return saveKeyPair(filepath.Join(folder, r.Name+".pem"), filepath.Join(folder, r.Name+".key"), der, key)
}

func template(name, unit string, now time.Time, valid time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 127))
	if err != nil {
		return nil, fmt.Errorf("pki: %w", err)
	}
	return &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: name, OrganizationalUnit: []string{unit}},
		NotBefore: now.Add(-clockSkew), NotAfter: now.Add(valid),
	}, nil
}

// saveKeyPair writes a key and its certificate. The key is written first, since the
// certificate is unusable without it.
func saveKeyPair(certFile, keyFile string, der []byte, key *ecdsa.PrivateKey) error {
	secret, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return fmt.Errorf("pki: %w", err)
	}
	if err := writePEM(keyFile, 0o600, &pem.Block{Type: "PRIVATE KEY", Bytes: secret}); err != nil {
		return err
	}
	return writePEM(certFile, 0o644, &pem.Block{Type: "CERTIFICATE", Bytes: der})
}

func writePEM(path string, mode os.FileMode, b *pem.Block) error {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, mode)
	if err != nil {
		return fmt.Errorf("pki: %w", err)
	}
	err = pem.Encode(f, b)
	if e := f.Close(); err == nil {
		err = e
	}
	if err != nil {
		return fmt.Errorf("pki: %w", err)
	}
	return nil
}

// ServerConfig returns the TLS configuration of an agent as a server. refuse is called for
// each rejected client with "certificate: " and the cause: none, expired, authority or other.
func ServerConfig(ca, cert, key string, refuse func(cause string)) (*tls.Config, error) {
	roots, err := tlsfile.LoadCertPool(ca)
	if err != nil {
		return nil, err
	}
	own, err := tls.LoadX509KeyPair(cert, key)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{own},
		// Requested here and required in VerifyConnection, which can report the cause.
		ClientAuth: tls.RequestClientCert,
		// No session resumption: each connection is verified in full.
		SessionTicketsDisabled: true,
		VerifyConnection: func(s tls.ConnectionState) error {
			cause, err := verifyClient(s.PeerCertificates, roots)
			if err != nil {
				refuse("certificate: " + cause)
			}
			return err
		},
	}, nil
}

func verifyClient(chain []*x509.Certificate, roots *x509.CertPool) (cause string, err error) {
	if len(chain) == 0 {
		return "none", errors.New("no client certificate")
	}
	_, err = chain[0].Verify(x509.VerifyOptions{Roots: roots, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}})
	var invalid x509.CertificateInvalidError
	var unknown x509.UnknownAuthorityError
	switch {
	case err == nil:
		return "", nil
	case errors.As(err, &invalid) && invalid.Reason == x509.Expired:
		return "expired", err
	case errors.As(err, &unknown):
		return "authority", err
	}
	return "other", err
}

// ClientConfig returns the TLS configuration of a client of agents.
func ClientConfig(ca, cert, key string) (*tls.Config, error) {
	roots, err := tlsfile.LoadCertPool(ca)
	if err != nil {
		return nil, err
	}
	own, err := tls.LoadX509KeyPair(cert, key)
	if err != nil {
		return nil, err
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: roots, Certificates: []tls.Certificate{own}}, nil
}

// PeerIdentity returns the name and the role of a verified client. The role is empty if its
// certificate has no known one.
func PeerIdentity(s *tls.ConnectionState) (name, role string) {
	if len(s.PeerCertificates) == 0 {
		return "", ""
	}
	subject := s.PeerCertificates[0].Subject
	if len(subject.OrganizationalUnit) == 1 && slices.Contains([]string{Viewer, Operator, Agent}, subject.OrganizationalUnit[0]) {
		role = subject.OrganizationalUnit[0]
	}
	return subject.CommonName, role
}
