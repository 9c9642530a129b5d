package peer

import "crypto/tls"

// ServerTLSConfig returns the configuration of a server that asks its clients for a certificate of the same authorities.
func (c *Credentials) ServerTLSConfig() *tls.Config { return c.server() }
