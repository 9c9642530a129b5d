package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/marigoldwood/marigoldwood/internal/settings"
	"github.com/marigoldwood/marigoldwood/resultcode"
)

// authority signs certificates for tests.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

func newAuthority() *authority {
	a := &authority{key: must(ecdsa.GenerateKey(elliptic.P256(), rand.Reader))}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der := must(x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key))
	a.cert = must(x509.ParseCertificate(der))
	return a
}

// issue writes a certificate, its key and the trusted authority to dir.
func (a *authority) issue(dir, name string, expires time.Time, trusted *authority) settings.TLS {
	key := must(ecdsa.GenerateKey(elliptic.P256(), rand.Reader))
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), DNSNames: []string{name}, NotBefore: time.Now().Add(-2 * time.Hour), NotAfter: expires,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	files := settings.TLS{
		Certificate: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), Authority: filepath.Join(dir, "ca.pem"),
	}
	write := func(path, kind string, der []byte) {
		if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
			panic(err)
		}
	}
	write(files.Certificate, "CERTIFICATE", must(x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)))
	write(files.Key, "PRIVATE KEY", must(x509.MarshalPKCS8PrivateKey(key)))
	write(files.Authority, "CERTIFICATE", trusted.cert.Raw)
	return files
}

func loadCredentials(t *testing.T, files settings.TLS) *Credentials {
	t.Helper()
	c, err := LoadCredentials(files)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// Guards against accepting peers whose certificate is not signed by a trusted authority, is not valid now, or has no
// allowed name, and against clients that send messages to an untrusted server.
func TestCertificates(t *testing.T) {
	ours, other := newAuthority(), newAuthority()
	later := time.Now().Add(time.Hour)
	tests := []struct {
		name     string
		client   func(dir string) settings.TLS
		accepted bool
	}{
		{"valid", func(d string) settings.TLS { return ours.issue(d, "balancer", later, ours) }, true},
		{"other authority", func(d string) settings.TLS { return other.issue(d, "balancer", later, ours) }, false},
		{"expired", func(d string) settings.TLS { return ours.issue(d, "balancer", time.Now().Add(-time.Hour), ours) }, false},
		{"name not allowed", func(d string) settings.TLS { return ours.issue(d, "target", later, ours) }, false},
		{"server not trusted", func(d string) settings.TLS { return ours.issue(d, "balancer", later, other) }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			files := ours.issue(t.TempDir(), "balancer", later, ours)
			files.Names = []string{"balancer"}
			s := listen(t, ListenConfig{Credentials: loadCredentials(t, files)})
			p := pool(t, loadCredentials(t, tt.client(t.TempDir())))
			if err := p.Send(s.Addr(), &BundleActivate{Version: 1}); err != nil {
				t.Fatal(err)
			}
			if tt.accepted {
				s.next(t)
				return
			}
			s.wantRefusal(t, resultcode.PeerIdentity)
			if len(s.received) > 0 {
				t.Fatal("a message of a refused peer was accepted")
			}
		})
	}
}

// Guards against accepting clients that send no certificate, use an older TLS version, or do not use TLS.
func TestNoCertificate(t *testing.T) {
	a := newAuthority()
	s := listen(t, ListenConfig{Credentials: loadCredentials(t, a.issue(t.TempDir(), "balancer", time.Now().Add(time.Hour), a))})
	for name, cfg := range map[string]*tls.Config{
		"no certificate":  {InsecureSkipVerify: true},
		"old TLS version": {InsecureSkipVerify: true, MaxVersion: tls.VersionTLS12},
	} {
		t.Run(name, func(t *testing.T) {
			conn := tls.Client(dial(t, s), cfg)
			if err := conn.Handshake(); err == nil {
				_, _ = conn.Read(make([]byte, 1))
			}
			s.wantRefusal(t, resultcode.PeerIdentity)
		})
	}
	sendRaw(t, dial(t, s), NewIdentity("plain", "regina", 1), &Hello{Host: "plain"})
	s.wantRefusal(t, resultcode.PeerIdentity)
}

// Guards against certificates that are replaced only after a restart, and against an outage while the files are replaced.
func TestCertificateReload(t *testing.T) {
	first, second := newAuthority(), newAuthority()
	later := time.Now().Add(time.Hour)
	dir := t.TempDir()
	server := loadCredentials(t, first.issue(dir, "balancer", later, first))
	s := listen(t, ListenConfig{Credentials: server})

	files := first.issue(dir, "balancer", later, first)
	if err := os.WriteFile(files.Key, []byte("half written"), 0o600); err != nil {
		t.Fatal(err)
	}
	server.lastCheck = time.Time{}
	if cert, _ := server.current(); cert == nil || server.Err() == nil {
		t.Fatal("while the files are replaced, the old credentials are not used or the reload error is not reported")
	}

	second.issue(dir, "balancer", later, second)
	server.lastCheck = time.Time{}
	p := pool(t, loadCredentials(t, second.issue(t.TempDir(), "balancer", later, second)))
	if err := p.Send(s.Addr(), &BundleActivate{Version: 1}); err != nil {
		t.Fatal(err)
	}
	s.next(t)
	if err := server.Err(); err != nil {
		t.Fatal(err)
	}
}
