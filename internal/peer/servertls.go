package peer

import "crypto/tls"

// ServerTLSConfig returns a TLS server configuration that requires client certificates signed by the same authorities.
func (c *Credentials) ServerTLSConfig() *tls.Config { return c.serverTLS() }
