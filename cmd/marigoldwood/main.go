// Command marigoldwood is the load balancer daemon.
package main

func main() {}
