// Package catchupbench measures how long a member of a replica group takes to be current again after it was away, and how
// many bytes it is sent, by how much it lacks and how it comes back. The members are real replicas of the
// configuration, on real disks, linked over loopback; changes go on while a member catches up.
package catchupbench
