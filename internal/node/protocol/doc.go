// Package protocol connects the node's core, package routing, to the platform's network protocol.
//
// It has one adapter for each kind of peer:
//
//   - Front, built on Server, accepts clients' HTTP/1.1 requests and sends one final answer to each;
//   - Destinations sends route steps and probes to the prep workers over pooled HTTP/1.1 connections;
//   - Discovery fetches the endpoint list of the pool config, as the platform calls its discovery service;
//   - Peers exchanges datagrams with the other nodes of the tier;
//   - Admin serves readiness, metrics and manual overrides to operators.
//
// Where a request is sent and whether it is retried is decided by package balance, which the core calls, and not here.
// All types are confined to the event loop (package eventloop): their methods run on it one at a time, so that their
// state needs no lock. Callers are the command of the program and the batch front (package httpapi, which uses Server).
//
// File handover.go passes clients' connections from one process of a node to the next.
package protocol
