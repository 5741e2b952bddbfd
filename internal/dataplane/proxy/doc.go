// Package proxy is the process that carries clients' requests to workers. It joins the feed of its
// machine's agent, the view made of it, the server towards clients, the choice of workers
// and the connections to them. It holds nothing durable.
//
// Lifetime. It is ready from the first configuration on, and stays so without its agent. Once
// told to end it is not ready any more, goes on accepting for a while, since the platform still sends
// connections until it has noticed, and ends when all requests in work are answered, or shortly before
// the platform's grace is over.
package proxy
