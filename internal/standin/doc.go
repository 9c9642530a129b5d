// Package standin holds stand-ins for the systems around the load balancer: the platform, the fabric, targets and
// callers, and a fault-injecting proxy. They run as subcommands of marigoldwood-standin.
package standin
