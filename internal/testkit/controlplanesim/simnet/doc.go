// Package simnet is a network of machines in memory, for simulations in a testing/synctest bubble. Its connections behave
// like those of TCP: bytes arrive in order after a delay, a cut holds them up until it ends or their sender gives up, a
// dead port refuses, a machine without power sends nothing. Processes can be frozen and killed.
//
// All waiting is on channels and timers, so that the bubble's clock can advance, and no Write ever waits.
package simnet
