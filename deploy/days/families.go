package main

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
)

// families are the kinds of days that can be drawn, by name. Each returns the planned work and the faults
// of a day with so many seconds of traffic.
var families = map[string]func(random *rand.Rand, length float64) (plan, faults []string){
	"core":    crossing,
	"cuts":    longCuts,
	"races":   racesAndRepeats,
	"repairs": lossAfterRepair,
	"storms":  hundredsOfChanges,
	"answers": lostAnswers,
}

func familyNames() []string {
	return slices.Sorted(maps.Keys(families))
}

// cutVariants are the ways in which a core machine can be partitioned off.
var cutVariants = []string{
	"", "one_way", "seeds", "both", "lure", "near", "all", "reset", "refuse", "oldest",
	"leader", "leader one_way", "leader all", "leader race", "leader meet hard", "leader race drain", "leader near drain",
	"reader meet drain", "seed race hard", "all meet race hard drain", "lure drain", "both race",
}

// longCuts draws one cut of about twenty seconds, with orders and leaving workers all the time and, at times, a second
// fault while it lasts or just after it has healed.
func longCuts(random *rand.Rand, length float64) (plan, faults []string) {
	start := between(random, 3, 7)
	cut := between(random, 14, 22)
	plan = []string{
		fmt.Sprintf(`at = 1.5, kind = "config_storm", for_s = %.1f, gap_s = %.2f`, length-4, between(random, 0.4, 1.2)),
		fmt.Sprintf(`at = %.2f, kind = "release", share = 0.4, x = 1.0, gap_s = %.2f`, start+between(random, 1, 8), between(random, 0.8, 2)),
		fmt.Sprintf(`at = %.2f, kind = "config_race", count = %d, gap_s = 1.5`, start+between(random, 0, 4), 3+random.IntN(6)),
	}
	faults = []string{
		fmt.Sprintf(`at = %.2f, kind = "core_cut", count = 1, for_s = %.1f, how = "%s"`, start, cut, choose(random, cutVariants)),
	}
	switch random.IntN(4) {
	case 0:
		faults = append(faults, fmt.Sprintf("at = %.2f, %s", start+cut+between(random, 0.2, 4), choose(random, faultsOfCore)))
	case 1:
		faults = append(faults, fmt.Sprintf(`at = %.2f, kind = "node_kill", share = 0.3, for_s = 1.5`, start+between(random, 1, cut)))
	case 2:
		plan = append(plan, fmt.Sprintf(`at = %.2f, kind = "seed_turnover"`, start+between(random, 1, cut)))
	}
	if random.IntN(2) == 0 {
		faults = append(faults, fmt.Sprintf(`at = %.2f, kind = "ack_lost", x = 0.7, for_s = 15.0`, start))
	}
	return plan, faults
}

// racesAndRepeats draws races on one version and lost acknowledgements, so that orders are repeated, during losses of the
// machines that acknowledge.
func racesAndRepeats(random *rand.Rand, length float64) (plan, faults []string) {
	plan = []string{
		fmt.Sprintf(`at = 1.5, kind = "config_race", count = %d, gap_s = %.2f`, int(length/1.2), between(random, 0.6, 1.2)),
		fmt.Sprintf(`at = 2.0, kind = "config_storm", for_s = %.1f, gap_s = %.2f`, length-4, between(random, 0.5, 1.5)),
		fmt.Sprintf(`at = %.2f, kind = "bad_config", count = 8, gap_s = 0.7, how = "%s"`,
			between(random, 2, 12), choose(random, []string{"old_version", "same_version", "stale_match", "shared_key"})),
	}
	faults = []string{fmt.Sprintf(`at = 1.0, kind = "ack_lost", x = 0.8, for_s = %.1f`, length-2)}
	for at := between(random, 3, 6); at < length-5; at += between(random, 4, 9) {
		faults = append(faults, fmt.Sprintf("at = %.2f, %s", at, choose(random, faultsAroundAcknowledgement)))
	}
	return plan, faults
}

var faultsAroundAcknowledgement = []string{
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

// lossAfterRepair draws chains of repairs: a core machine is replaced, wiped or removed, and another is lost half a second
// to six seconds later.
func lossAfterRepair(random *rand.Rand, length float64) (plan, faults []string) {
	plan = []string{fmt.Sprintf(`at = 1.5, kind = "config_storm", for_s = %.1f, gap_s = %.2f`, length-4, between(random, 0.4, 1.0))}
	for at := between(random, 2, 5); at < length-8; at += between(random, 6, 10) {
		repair := choose(random, repairs)
		if repair == plannedReplacement {
			plan = append(plan, fmt.Sprintf("at = %.2f, %s", at, repair))
		} else {
			faults = append(faults, fmt.Sprintf("at = %.2f, %s", at, repair))
		}
		faults = append(faults, fmt.Sprintf("at = %.2f, %s", at+between(random, 0.5, 6), choose(random, secondLosses)))
	}
	return plan, faults
}

const plannedReplacement = `kind = "replace_core", how = "planned", x = 2.0`

var repairs = []string{
	`kind = "replace_core", x = 1.0`,
	`kind = "replace_core", x = 0.5, how = "oldest"`,
	plannedReplacement,
	`kind = "after_ack_wipe", for_s = 1.5`,
	`kind = "after_ack_wipe", for_s = 1.5, how = "oldest"`,
}

var secondLosses = []string{
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

// hundredsOfChanges draws a storm of changes all day over a large configuration, with core machines that are down, wiped
// or short of disk meanwhile.
func hundredsOfChanges(random *rand.Rand, length float64) (plan, faults []string) {
	plan = []string{
		fmt.Sprintf(`at = 1.0, kind = "big_config", count = %d`, 200+random.IntN(250)),
		fmt.Sprintf(`at = 2.5, kind = "config_storm", for_s = %.1f, gap_s = %.2f`, length-4, between(random, 0.06, 0.15)),
	}
	for at := between(random, 4, 7); at < length-6; at += between(random, 4, 9) {
		faults = append(faults, fmt.Sprintf("at = %.2f, %s", at, choose(random, faultsAmidBurst)))
	}
	return plan, faults
}

var faultsAmidBurst = []string{
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

// lostAnswers draws answers of workers that are spoilt, cut or lost, with connections reset and machines that restart.
func lostAnswers(random *rand.Rand, length float64) (plan, faults []string) {
	plan = []string{
		fmt.Sprintf(`at = %.2f, kind = "roll_term", share = 0.6, x = 1.0, gap_s = 1.5, how = "busy"`, between(random, 3, 8)),
		fmt.Sprintf(`at = %.2f, kind = "hup", share = 0.5, gap_s = 0.8`, between(random, 2, 10)),
		fmt.Sprintf(`at = %.2f, kind = "release", share = 0.5, x = 1.0, gap_s = 1.0`, between(random, 3, 12)),
	}
	for at := between(random, 1, 3); at < length-5; at += between(random, 2, 5) {
		faults = append(faults, fmt.Sprintf("at = %.2f, %s", at, choose(random, faultsOfAnswers)))
	}
	return plan, faults
}

var faultsOfAnswers = []string{
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
