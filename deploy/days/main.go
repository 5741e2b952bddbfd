// Command days generates random fault scenarios for the bench, one file for each seed. The bench calls a scenario a day. By
// default, faults of control plane (core) machines overlap each other.
//
//	go run ./deploy/days -out DIRECTORY -first 1 -count 40 [-family NAME] [-length SECONDS] [-closing KIND]
//
// The same seed and options always give the same scenario. README.md describes how scenarios are run.
package main

import (
	"flag"
	"fmt"
	"log"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
)

func main() {
	log.SetFlags(0)
	out := flag.String("out", ".", "directory for the scenario files")
	first := flag.Uint64("first", 1, "first seed")
	count := flag.Uint64("count", 1, "number of scenarios")
	closing := flag.String("closing", "", "final fault of all scenarios, quoted as in the file, or none; empty: random")
	family := flag.String("family", "core", "kind of scenario: "+strings.Join(familyNames(), ", "))
	length := flag.Float64("length", defaultTrafficSeconds, "seconds of traffic per scenario, which the site sets")
	flag.Parse()
	if err := writeScenarios(*out, *first, *count, scenarioOptions{family: *family, trafficSeconds: *length, finalFault: *closing}); err != nil {
		log.Fatal(err)
	}
}

// defaultTrafficSeconds is the traffic duration of the operators' scenarios.
const defaultTrafficSeconds = 34.0

// scenarioOptions are the options that all scenarios of one run share.
type scenarioOptions struct {
	family         string // key of scenarioFamilies
	trafficSeconds float64
	finalFault     string // empty: random; "none": no final fault
}

// writeScenarios writes the scenarios of count seeds from first on, one file each, into the directory.
func writeScenarios(directory string, first, count uint64, options scenarioOptions) error {
	if scenarioFamilies[options.family] == nil {
		return fmt.Errorf("unknown family %q, want one of: %s", options.family, strings.Join(familyNames(), ", "))
	}
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return err
	}
	for seed := first; seed < first+count; seed++ {
		path := filepath.Join(directory, fmt.Sprintf("%s-%d.toml", options.family, seed))
		if err := os.WriteFile(path, []byte(generateScenario(seed, options)), 0o644); err != nil {
			return err
		}
	}
	return nil
}

// generateScenario returns the scenario of a seed in TOML.
func generateScenario(seed uint64, options scenarioOptions) string {
	random := rand.New(rand.NewPCG(seed, 0))
	finalFault := options.finalFault
	var scenario strings.Builder
	fmt.Fprintf(&scenario, "[[day]]\nname = \"%s-%d\"\nseed = %d\n", options.family, seed, seed)
	if finalFault == "" {
		finalFault = choose(random, finalFaults)
	}
	if finalFault != "none" {
		fmt.Fprintf(&scenario, "closing = { kind = %s, down_s = %.2f }\n", finalFault, uniform(random, 0.6, 1.8))
	}
	plan, faults := scenarioFamilies[options.family](random, options.trafficSeconds)
	writeEvents(&scenario, "plan", plan)
	writeEvents(&scenario, "faults", faults)
	return scenario.String()
}

// writeEvents writes a TOML array of events, which are given as the contents of inline tables.
func writeEvents(scenario *strings.Builder, name string, events []string) {
	fmt.Fprintf(scenario, "%s = [\n", name)
	for _, event := range events {
		fmt.Fprintf(scenario, "  { %s },\n", event)
	}
	scenario.WriteString("]\n")
}

// overlappingFaults generates faults that overlap each other, mostly of the core, during configuration changes and other planned
// work.
func overlappingFaults(random *rand.Rand, length float64) (plan, faults []string) {
	return generatePlan(random, length), generateFaults(random, length)
}

// generatePlan generates configuration changes throughout the scenario, so that each fault coincides with some, and other planned
// work.
func generatePlan(random *rand.Rand, length float64) []string {
	plan := []string{
		fmt.Sprintf(`at = 1.5, kind = "config_storm", for_s = %.1f, gap_s = %.2f`, length-3, uniform(random, 0.25, 0.9)),
		fmt.Sprintf(`at = 3.0, kind = "config_race", count = %d, gap_s = %.2f`, 4+random.IntN(8), uniform(random, 0.7, 2.5)),
	}
	for range 1 + random.IntN(3) {
		plan = append(plan, fmt.Sprintf("at = %.2f, %s", uniform(random, 2, length-6), choose(random, plannedEvents)))
	}
	return plan
}

// meanGroupInterval is the number of seconds for each group of faults in scenarios longer than the operators'.
const meanGroupInterval = 12.0

// generateFaults generates groups of faults: two or three groups in a scenario of the default length, more in a longer one. The
// faults of a group overlap each other.
func generateFaults(random *rand.Rand, length float64) []string {
	var faults []string
	at := uniform(random, 2, 6)
	groups := 2 + random.IntN(2)
	if length > defaultTrafficSeconds {
		groups = int(length / meanGroupInterval)
	}
	for range groups {
		for range 2 + random.IntN(2) {
			faults = append(faults, fmt.Sprintf("at = %.2f, %s", at+uniform(random, 0, 3), choose(random, unplannedFaults)))
		}
		at += uniform(random, 5, 11)
	}
	if random.IntN(2) == 0 {
		faults = append(faults, fmt.Sprintf(`at = %.2f, kind = "ack_lost", x = 0.7, for_s = 12.0`, uniform(random, 2, 20)))
	}
	return faults
}

// choose returns a random element.
func choose(random *rand.Rand, from []string) string { return from[random.IntN(len(from))] }

// uniform returns a random number in [low, high).
func uniform(random *rand.Rand, low, high float64) float64 {
	return low + random.Float64()*(high-low)
}
