// Package catchupbench measures how long a member of a replica group takes to catch up after it was offline, and how many bytes
// are sent to it, depending on the number of changes that it missed and on how it returns. The members are real replicas of the
// configuration with real disks, connected over loopback. Changes continue while a member catches up.
package catchupbench
