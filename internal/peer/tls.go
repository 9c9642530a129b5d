package peer

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/marigoldwood/marigoldwood/internal/settings"
	"github.com/marigoldwood/marigoldwood/resultcode"
)

// reloadInterval is the minimum time between two checks for changed certificate files.
const reloadInterval = time.Second

// Credentials holds the certificate of this host and the trusted authorities of peer certificates. It reloads the files
// when they change. It is safe for concurrent use.
type Credentials struct {
	files     settings.TLS
	mu        sync.Mutex
	lastCheck time.Time
	version   [3]fileVersion
	cert      *tls.Certificate
	roots     *x509.CertPool
	err       error // of the last reload
}

type fileVersion struct {
	modified time.Time
	size     int64
}

// LoadCredentials reads the certificate files.
func LoadCredentials(files settings.TLS) (*Credentials, error) {
	c := &Credentials{files: files, lastCheck: time.Now()}
	c.version = c.stat()
	if err := c.read(); err != nil {
		return nil, err
	}
	return c, nil
}

func (c *Credentials) stat() (v [3]fileVersion) {
	for i, name := range []string{c.files.Certificate, c.files.Key, c.files.Authority} {
		if info, err := os.Stat(name); err == nil {
			v[i] = fileVersion{modified: info.ModTime(), size: info.Size()}
		}
	}
	return v
}

func (c *Credentials) read() error {
	cert, err := tls.LoadX509KeyPair(c.files.Certificate, c.files.Key)
	if err != nil {
		return Error.Wrap(err)
	}
	pem, err := os.ReadFile(c.files.Authority)
	if err != nil {
		return Error.Wrap(err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return Error.New("%s contains no certificate", c.files.Authority)
	}
	c.cert, c.roots = &cert, roots
	return nil
}

// current returns the credentials after reloading them if the files have changed. While the new files cannot be read, for
// example during their replacement, the old credentials stay in use and a later call tries again.
func (c *Credentials) current() (*tls.Certificate, *x509.CertPool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := time.Now(); now.Sub(c.lastCheck) >= reloadInterval {
		c.lastCheck = now
		if v := c.stat(); v != c.version || c.err != nil {
			if c.err = c.read(); c.err == nil {
				c.version = v
			}
		}
	}
	return c.cert, c.roots
}

// Err returns the error of the last reload, or nil if it succeeded.
func (c *Credentials) Err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

func (c *Credentials) serverTLS() *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		ClientAuth:             tls.RequireAnyClientCert, // verify checks the chain, with reloaded authorities
		SessionTicketsDisabled: true,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			cert, _ := c.current()
			return cert, nil
		},
		VerifyConnection: func(s tls.ConnectionState) error { return c.verify(s, x509.ExtKeyUsageClientAuth) },
	}
}

func (c *Credentials) clientTLS() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		// Peers are dialled by IP address, which their certificates do not contain. verify checks the chain and the names instead.
		InsecureSkipVerify: true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _ := c.current()
			return cert, nil
		},
		VerifyConnection: func(s tls.ConnectionState) error { return c.verify(s, x509.ExtKeyUsageServerAuth) },
	}
}

func (c *Credentials) verify(s tls.ConnectionState, usage x509.ExtKeyUsage) error {
	if len(s.PeerCertificates) == 0 {
		return resultcode.Errorf(resultcode.PeerIdentity, "certificate", "the peer sent no certificate")
	}
	_, roots := c.current()
	leaf, intermediates := s.PeerCertificates[0], x509.NewCertPool()
	for _, cert := range s.PeerCertificates[1:] {
		intermediates.AddCert(cert)
	}
	options := x509.VerifyOptions{Roots: roots, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{usage}}
	if _, err := leaf.Verify(options); err != nil {
		return resultcode.Errorf(resultcode.PeerIdentity, "certificate", "%v", err)
	}
	allowed := func(name string) bool { return slices.Contains(c.files.Names, name) }
	if len(c.files.Names) > 0 && !slices.ContainsFunc(leaf.DNSNames, allowed) {
		return resultcode.Errorf(resultcode.PeerIdentity, "certificate",
			"none of the names %v is allowed, want one of %v", leaf.DNSNames, c.files.Names)
	}
	return nil
}
