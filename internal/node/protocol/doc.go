// Package protocol connects the node's core, package routing, to the platform's network protocol.
//
// It has an adapter for each side of a node:
//
//   - Front, built on Server: clients' HTTP/1.1 requests in, one final answer each out;
//   - Destinations: route steps and probes to the prep workers over pooled HTTP/1.1 connections;
//   - Discovery: the endpoint list of the pool config (the platform's name of its discovery service);
//   - Peers: datagrams between the nodes of the tier;
//   - Admin: readiness, metrics and manual overrides for operators.
//
// The package decides nothing about where a request goes or whether it is retried: that is package balance's, asked by
// the core. All types belong to the event loop (package eventloop): their methods run there, one at a time, so that no
// state needs a lock. The program's command and the batch front (package httpapi, which uses Server) are the callers.
//
// The hand-over of clients' connections between two processes of one node is in handover.go.
package protocol
