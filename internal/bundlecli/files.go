package bundlecli

import (
	"crypto/ed25519"
	"crypto/x509"
	"encoding/pem"
	"io"
	"os"

	"github.com/marigoldwood/marigoldwood/bundle"
	"github.com/marigoldwood/marigoldwood/internal/settings"
	"github.com/marigoldwood/marigoldwood/resultcode"
)

const (
	privateMode  = 0o600 // the loosest mode that settings.CheckKeyFile accepts
	publicMode   = 0o644
	pemType      = "PRIVATE KEY"   // PKCS #8
	maxFileBytes = int64(16 << 20) // over the limit of a bundle, so that the checks of the bundle report its size
)

// file reads the file at path, or standard input for "-".
func (c *command) file(path string) ([]byte, error) {
	var in io.Reader = c.stdin
	if path != "-" {
		f, err := os.Open(path)
		if err != nil {
			return nil, resultcode.Errorf(resultcode.Usage, path, "%v", err)
		}
		defer f.Close()
		in = f
	}
	data, err := io.ReadAll(io.LimitReader(in, maxFileBytes))
	if err != nil {
		return nil, resultcode.Errorf(resultcode.Usage, path, "%v", err)
	}
	return data, nil
}

// save writes data to a file, or to standard output for "-".
func (c *command) save(path string, data []byte) error {
	if path == "-" {
		_, err := c.stdout.Write(data)
		return err
	}
	if err := os.WriteFile(path, data, publicMode); err != nil {
		return resultcode.Errorf(resultcode.Usage, path, "%v", err)
	}
	return nil
}

// writePrivate writes a private key that only the owner can read. It never replaces a file: the key in it might be the
// only copy.
func writePrivate(path string, key ed25519.PrivateKey) error {
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return err
	}
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, privateMode)
	if err != nil {
		return resultcode.Errorf(resultcode.Usage, path, "%v", err)
	}
	if err := pem.Encode(f, &pem.Block{Type: pemType, Bytes: der}); err != nil {
		_ = f.Close()
		return resultcode.Errorf(resultcode.Usage, path, "%v", err)
	}
	return f.Close()
}

// readPrivate reads a private key and refuses a file that others than its owner can read.
func readPrivate(path string) (ed25519.PrivateKey, error) {
	if err := settings.CheckKeyFile(path); err != nil {
		return nil, err
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, resultcode.Errorf(resultcode.Usage, path, "%v", err)
	}
	block, _ := pem.Decode(data)
	if block == nil || block.Type != pemType {
		return nil, resultcode.Errorf(resultcode.Usage, path, "no PEM block of type %q", pemType)
	}
	parsed, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return nil, resultcode.Errorf(resultcode.Usage, path, "%v", err)
	}
	key, isEd25519 := parsed.(ed25519.PrivateKey)
	if !isEd25519 {
		return nil, resultcode.Errorf(resultcode.Usage, path, "not an Ed25519 key")
	}
	return key, nil
}

// isEnvelope reports whether data starts with a msgpack map, which no YAML document does.
func isEnvelope(data []byte) bool { return len(data) > 0 && data[0]&0xf0 == 0x80 }

// load parses the document at path, which may be in an envelope. The signature is not checked.
func (c *command) load(path string) (*bundle.Bundle, *bundle.Envelope, error) {
	data, err := c.file(path)
	if err != nil {
		return nil, nil, err
	}
	var envelope *bundle.Envelope
	if isEnvelope(data) {
		if envelope, err = bundle.DecodeEnvelope(data); err != nil {
			return nil, nil, err
		}
		data = envelope.Payload
	}
	b, err := bundle.Parse(data)
	return b, envelope, err
}

// loadSigned is load with the payload that signing gives, so that a document and its envelope count as the same content.
func (c *command) loadSigned(path string) (*bundle.Bundle, error) {
	b, envelope, err := c.load(path)
	if err != nil || envelope != nil {
		return b, err
	}
	payload, err := bundle.Compact(&b.Document)
	if err != nil {
		return nil, err
	}
	return bundle.Parse(payload)
}
