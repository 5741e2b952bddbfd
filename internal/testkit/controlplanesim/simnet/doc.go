// Package simnet simulates a network of machines in memory, for use in a testing/synctest bubble. Its connections behave like
// TCP connections: bytes arrive in order after a delay, a partition delays them until it heals or the sender times out, a
// closed port refuses connections, and a machine without power sends nothing. Processes can be frozen and killed.
//
// All blocking is on channels and timers, so that the clock of the bubble can advance. Write never blocks.
package simnet
