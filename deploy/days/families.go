package main

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
)

// scenarioFamilies are the generators of scenarios by name. Each returns the planned work and the faults of a scenario whose
// traffic lasts length seconds. The order of the random draws must not change, since seeds identify scenarios.
var scenarioFamilies = map[string]func(random *rand.Rand, length float64) (plan, faults []string){
	"core":    overlappingFaults,
	"cuts":    longPartitions,
	"races":   racesAndRetries,
	"repairs": faultsAfterRepair,
	"storms":  changeBursts,
	"answers": lostResponses,
}

func familyNames() []string {
	return slices.Sorted(maps.Keys(scenarioFamilies))
}

// partitionVariants are the ways in which a core machine can be partitioned from the network.
var partitionVariants = []string{
	"", "one_way", "seeds", "both", "lure", "near", "all", "reset", "refuse", "oldest",
	"leader", "leader one_way", "leader all", "leader race", "leader meet hard", "leader race drain", "leader near drain",
	"reader meet drain", "seed race hard", "all meet race hard drain", "lure drain", "both race",
}

// longPartitions generates one network partition of about twenty seconds, with configuration changes and departing workers
// throughout, and in some scenarios a second fault during the partition or just after it heals.
func longPartitions(random *rand.Rand, length float64) (plan, faults []string) {
	start := uniform(random, 3, 7)
	duration := uniform(random, 14, 22)
	plan = []string{
		fmt.Sprintf(`at = 1.5, kind = "config_storm", for_s = %.1f, gap_s = %.2f`, length-4, uniform(random, 0.4, 1.2)),
		fmt.Sprintf(`at = %.2f, kind = "release", share = 0.4, x = 1.0, gap_s = %.2f`, start+uniform(random, 1, 8), uniform(random, 0.8, 2)),
		fmt.Sprintf(`at = %.2f, kind = "config_race", count = %d, gap_s = 1.5`, start+uniform(random, 0, 4), 3+random.IntN(6)),
	}
	faults = []string{
		fmt.Sprintf(`at = %.2f, kind = "core_cut", count = 1, for_s = %.1f, how = "%s"`, start, duration, choose(random, partitionVariants)),
	}
	switch random.IntN(4) {
	case 0:
		faults = append(faults, fmt.Sprintf("at = %.2f, %s", start+duration+uniform(random, 0.2, 4), choose(random, unplannedFaults)))
	case 1:
		faults = append(faults, fmt.Sprintf(`at = %.2f, kind = "node_kill", share = 0.3, for_s = 1.5`, start+uniform(random, 1, duration)))
	case 2:
		plan = append(plan, fmt.Sprintf(`at = %.2f, kind = "seed_turnover"`, start+uniform(random, 1, duration)))
	}
	if random.IntN(2) == 0 {
		faults = append(faults, fmt.Sprintf(`at = %.2f, kind = "ack_lost", x = 0.7, for_s = 15.0`, start))
	}
	return plan, faults
}

// racesAndRetries generates concurrent changes of the same configuration version and lost acknowledgements, which cause retries,
// while the machines that acknowledge fail.
func racesAndRetries(random *rand.Rand, length float64) (plan, faults []string) {
	plan = []string{
		fmt.Sprintf(`at = 1.5, kind = "config_race", count = %d, gap_s = %.2f`, int(length/1.2), uniform(random, 0.6, 1.2)),
		fmt.Sprintf(`at = 2.0, kind = "config_storm", for_s = %.1f, gap_s = %.2f`, length-4, uniform(random, 0.5, 1.5)),
		fmt.Sprintf(`at = %.2f, kind = "bad_config", count = 8, gap_s = 0.7, how = "%s"`,
			uniform(random, 2, 12), choose(random, []string{"old_version", "same_version", "stale_match", "shared_key"})),
	}
	faults = []string{fmt.Sprintf(`at = 1.0, kind = "ack_lost", x = 0.8, for_s = %.1f`, length-2)}
	for at := uniform(random, 3, 6); at < length-5; at += uniform(random, 4, 9) {
		faults = append(faults, fmt.Sprintf("at = %.2f, %s", at, choose(random, acknowledgementFaults)))
	}
	return plan, faults
}

// acknowledgementFaults are faults of core machines around an acknowledgement.
var acknowledgementFaults = []string{
	`kind = "after_ack_kill", for_s = 1.5`,
	`kind = "after_ack_kill", for_s = 1.0, how = "kill"`,
	`kind = "after_ack_kill", for_s = 2.0, how = "timed"`,
	`kind = "after_ack_wipe", for_s = 2.0`,
	`kind = "after_ack_wipe", for_s = 2.0, how = "oldest"`,
	`kind = "core_cut", for_s = 3.0, how = "leader race"`,
	`kind = "core_cut", for_s = 3.0, how = "leader reset race hard"`,
	`kind = "node_kill", on = "core", count = 1, for_s = 2.0, how = "leader race"`,
	`kind = "node_freeze", on = "core", count = 1, for_s = 2.0, how = "leader race"`,
	`kind = "herd_kill", share = 1.0, for_s = 1.0, on = "core"`,
	`kind = "reset_conns", on = "core", share = 0.7, x = 0.8`,
}

// faultsAfterRepair generates chains of repairs: a core machine is replaced, wiped or removed, and another fails half a second to
// six seconds later.
func faultsAfterRepair(random *rand.Rand, length float64) (plan, faults []string) {
	plan = []string{fmt.Sprintf(`at = 1.5, kind = "config_storm", for_s = %.1f, gap_s = %.2f`, length-4, uniform(random, 0.4, 1.0))}
	for at := uniform(random, 2, 5); at < length-8; at += uniform(random, 6, 10) {
		repair := choose(random, repairEvents)
		if repair == plannedReplacementEvent {
			plan = append(plan, fmt.Sprintf("at = %.2f, %s", at, repair))
		} else {
			faults = append(faults, fmt.Sprintf("at = %.2f, %s", at, repair))
		}
		faults = append(faults, fmt.Sprintf("at = %.2f, %s", at+uniform(random, 0.5, 6), choose(random, followUpFaults)))
	}
	return plan, faults
}

// plannedReplacementEvent is the repair that belongs to the planned work and not to the faults.
const plannedReplacementEvent = `kind = "replace_core", how = "planned", x = 2.0`

// repairEvents are the events that start a repair of the core.
var repairEvents = []string{
	`kind = "replace_core", x = 1.0`,
	`kind = "replace_core", x = 0.5, how = "oldest"`,
	plannedReplacementEvent,
	`kind = "after_ack_wipe", for_s = 1.5`,
	`kind = "after_ack_wipe", for_s = 1.5, how = "oldest"`,
}

// followUpFaults are the faults that follow a repair.
var followUpFaults = []string{
	`kind = "after_ack_kill", for_s = 2.0`,
	`kind = "after_ack_wipe", for_s = 2.0`,
	`kind = "after_ack_wipe", for_s = 2.0, how = "oldest"`,
	`kind = "replace_core", x = 1.0`,
	`kind = "replace_core", x = 1.0, how = "oldest"`,
	`kind = "node_kill", on = "core", count = 1, for_s = 2.0, how = "leader"`,
	`kind = "node_kill", on = "core", count = 1, for_s = 3.0, how = "power"`,
	`kind = "herd_kill", share = 1.0, for_s = 1.5, how = "power", on = "core"`,
	`kind = "core_cut", for_s = 4.0, how = "leader"`,
	`kind = "core_cut", for_s = 4.0, how = "oldest"`,
	`kind = "node_freeze", on = "core", count = 1, for_s = 3.0, how = "leader"`,
}

// changeBursts generates hundreds of changes to a large configuration throughout the scenario, while core machines are down, wiped
// or short of disk space.
func changeBursts(random *rand.Rand, length float64) (plan, faults []string) {
	plan = []string{
		fmt.Sprintf(`at = 1.0, kind = "big_config", count = %d`, 200+random.IntN(250)),
		fmt.Sprintf(`at = 2.5, kind = "config_storm", for_s = %.1f, gap_s = %.2f`, length-4, uniform(random, 0.06, 0.15)),
	}
	for at := uniform(random, 4, 7); at < length-6; at += uniform(random, 4, 9) {
		faults = append(faults, fmt.Sprintf("at = %.2f, %s", at, choose(random, burstFaults)))
	}
	return plan, faults
}

// burstFaults are the faults during a burst of changes.
var burstFaults = []string{
	`kind = "after_ack_wipe", for_s = 2.0`,
	`kind = "after_ack_wipe", for_s = 4.0, how = "oldest"`,
	`kind = "node_kill", on = "core", count = 1, for_s = 5.0, how = "power"`,
	`kind = "node_kill", on = "core", count = 1, for_s = 8.0`,
	`kind = "disk_slow", count = 1, x = 30.0, for_s = 5.0, how = "leader"`,
	`kind = "disk_full", count = 1, for_s = 5.0`,
	`kind = "disk_full", count = 1, for_s = 5.0, how = "leader"`,
	`kind = "disk_stall", count = 1, for_s = 4.0`,
	`kind = "replace_core", x = 1.0`,
	`kind = "herd_kill", share = 1.0, for_s = 1.0, how = "power", on = "core"`,
	`kind = "roll_term", on = "core", share = 1.0, x = 1.0, gap_s = 2.0`,
	`kind = "node_kill", share = 0.3, for_s = 3.0`,
	`kind = "core_cut", for_s = 6.0`,
}

// lostResponses generates corrupted, truncated and lost responses of workers, with connection resets and restarting machines.
func lostResponses(random *rand.Rand, length float64) (plan, faults []string) {
	plan = []string{
		fmt.Sprintf(`at = %.2f, kind = "roll_term", share = 0.6, x = 1.0, gap_s = 1.5, how = "busy"`, uniform(random, 3, 8)),
		fmt.Sprintf(`at = %.2f, kind = "hup", share = 0.5, gap_s = 0.8`, uniform(random, 2, 10)),
		fmt.Sprintf(`at = %.2f, kind = "release", share = 0.5, x = 1.0, gap_s = 1.0`, uniform(random, 3, 12)),
	}
	for at := uniform(random, 1, 3); at < length-5; at += uniform(random, 2, 5) {
		faults = append(faults, fmt.Sprintf("at = %.2f, %s", at, choose(random, responseFaults)))
	}
	return plan, faults
}

// responseFaults are the faults that affect responses of workers.
var responseFaults = []string{
	`kind = "garble", share = 0.6, x = 0.06, for_s = 8.0`,
	`kind = "garble", share = 0.6, x = 0.06, for_s = 8.0, how = "extra"`,
	`kind = "garble", share = 0.6, x = 0.1, for_s = 8.0, how = "unframed"`,
	`kind = "garble", share = 0.6, x = 0.1, for_s = 8.0, how = "early"`,
	`kind = "answer_lost", share = 0.6, x = 0.06, for_s = 6.0`,
	`kind = "answer_lost", share = 0.6, x = 0.06, for_s = 6.0, how = "reset"`,
	`kind = "reset_conns", share = 0.5, x = 0.6`,
	`kind = "srv_cut", share = 0.2, for_s = 5.0`,
	`kind = "srv_cut", share = 0.2, for_s = 5.0, how = "reset"`,
	`kind = "srv_crash", share = 0.2, for_s = 3.0, how = "dark"`,
	`kind = "srv_slow", share = 0.2, x = 4.0, for_s = 4.0`,
	`kind = "srv_grey", share = 0.2, x = 0.4, for_s = 5.0, how = "mute"`,
	`kind = "srv_grey", share = 0.2, x = 0.4, for_s = 5.0, how = "reset"`,
	`kind = "srv_grey", share = 0.2, x = 0.4, for_s = 5.0, how = "hang"`,
	`kind = "give_up", share = 0.4, x = 120.0, for_s = 6.0`,
	`kind = "retry_abuse", share = 0.3, x = 2.0, for_s = 6.0`,
	`kind = "replace_with_reuse", share = 0.15, how = "drain"`,
	`kind = "replace_with_reuse", share = 0.15, how = "dark"`,
	`kind = "node_freeze", share = 0.2, for_s = 3.0`,
}
