package front

import "net"

// Listen opens a listener ("ip:port") with a long queue of new connections.
func Listen(address string) (net.Listener, error) { return net.Listen("tcp4", address) }
