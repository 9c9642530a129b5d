package peer

import "crypto/tls"

// ServerConfig returns the configuration of a server that asks its clients for a certificate of the same authorities.
func (c *Credentials) ServerConfig() *tls.Config { return c.server() }
