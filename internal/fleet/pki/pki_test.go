package pki

import (
	"crypto/x509"
	"encoding/pem"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

func TestKeysArePrivateAndNothingIsReplaced(t *testing.T) {
	dir, now := t.TempDir(), time.Now()
	if err := Init(dir, "fleet", now); err != nil {
		t.Fatal(err)
	}
	if err := Init(dir, "fleet", now); err == nil {
		t.Error("a second authority overwrote the first")
	}
	ada := Request{Name: "ada", Role: Operator, ValidFor: time.Hour}
	if err := Issue(dir, ada, now); err != nil {
		t.Fatal(err)
	}
	if err := Issue(dir, ada, now); err == nil {
		t.Error("a certificate was overwritten")
	}
	for _, name := range []string{"ca.key", "ada.key"} {
		if info, err := os.Stat(filepath.Join(dir, name)); err != nil || info.Mode().Perm() != 0o600 {
			t.Errorf("%s: %v, %v", name, info.Mode(), err)
		}
	}
	text, err := os.ReadFile(filepath.Join(dir, "ada.pem"))
	if err != nil {
		t.Fatal(err)
	}
	b, _ := pem.Decode(text)
	c, err := x509.ParseCertificate(b.Bytes)
	if err != nil {
		t.Fatal(err)
	}
	if c.IsCA || c.Subject.CommonName != "ada" || c.Subject.OrganizationalUnit[0] != Operator || c.NotAfter.Sub(now) > time.Hour {
		t.Errorf("issued %+v", c.Subject)
	}
}

func TestRequestsThatAreRefused(t *testing.T) {
	dir, now := t.TempDir(), time.Now()
	if err := Issue(dir, Request{Name: "ada", Role: Operator, ValidFor: time.Hour}, now); err == nil {
		t.Error("issued without an authority")
	}
	if err := Init(dir, "fleet", now); err != nil {
		t.Fatal(err)
	}
	for want, r := range map[string]Request{
		"not a valid name":  {Name: "../ada", Role: Operator, ValidFor: time.Hour},
		"\"ca\"":            {Name: "ca", Role: Operator, ValidFor: time.Hour},
		"unknown role":      {Name: "ada", Role: "root", ValidFor: time.Hour},
		"not positive":      {Name: "ada", Role: Operator},
		"has no host names": {Name: "ada", Role: Viewer, Hosts: []string{"x"}, ValidFor: time.Hour},
		"needs the":         {Name: "m1", Role: Agent, ValidFor: time.Hour},
	} {
		if err := Issue(dir, r, now); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%+v: %v, want %q", r, err, want)
		}
	}
}
