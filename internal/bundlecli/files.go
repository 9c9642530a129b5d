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
	privateKeyMode = 0o600 // settings.CheckKeyFile rejects further permissions
	outputMode     = 0o644
	pemType        = "PRIVATE KEY"   // PKCS #8
	maxFileBytes   = int64(16 << 20) // above the size limit of a bundle, so that package bundle rejects oversized ones
)

// readInput reads the file at path, or standard input if path is "-". It reads up to maxFileBytes.
func (c *command) readInput(path string) ([]byte, error) {
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

// writeOutput writes data to the file at path, or to standard output if path is "-".
func (c *command) writeOutput(path string, data []byte) error {
	if path == "-" {
		_, err := c.stdout.Write(data)
		return err
	}
	if err := os.WriteFile(path, data, outputMode); err != nil {
		return resultcode.Errorf(resultcode.Usage, path, "%v", err)
	}
	return nil
}

// writePrivateKey writes a private key to a new file that only its owner can read. It never overwrites a file, which could
// be the only copy of a key.
func writePrivateKey(path string, key ed25519.PrivateKey) error {
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return err
	}
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, privateKeyMode)
	if err != nil {
		return resultcode.Errorf(resultcode.Usage, path, "%v", err)
	}
	if err := pem.Encode(f, &pem.Block{Type: pemType, Bytes: der}); err != nil {
		_ = f.Close()
		return resultcode.Errorf(resultcode.Usage, path, "%v", err)
	}
	return f.Close()
}

// readPrivateKey reads a private key. It is an error if other users than the owner have access to the file.
func readPrivateKey(path string) (ed25519.PrivateKey, error) {
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

// isEnvelope reports whether data is an envelope, which starts with a MessagePack map. No YAML document starts with such a byte.
func isEnvelope(data []byte) bool { return len(data) > 0 && data[0]&0xf0 == 0x80 }

// loadBundle parses the document at path, or that in the envelope at path. It does not verify the signature. The envelope is
// nil if there is none.
func (c *command) loadBundle(path string) (*bundle.Bundle, *bundle.Envelope, error) {
	data, err := c.readInput(path)
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

// loadCompacted is like loadBundle, but converts a plain document to the compact payload that signing produces. A document
// and its envelope then have the same digest.
func (c *command) loadCompacted(path string) (*bundle.Bundle, error) {
	b, envelope, err := c.loadBundle(path)
	if err != nil || envelope != nil {
		return b, err
	}
	payload, err := bundle.Compact(&b.Document)
	if err != nil {
		return nil, err
	}
	return bundle.Parse(payload)
}
