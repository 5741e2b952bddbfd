package main

import (
	"crypto/sha256"
	"encoding/hex"
	"math/rand/v2"
	"strings"
	"testing"
)

// TestGenerateScenario_sameSeedSameScenario guards the scenarios of the core family, which the journal identifies by their seeds:
// changed scenarios need a new family.
func TestGenerateScenario_sameSeedSameScenario(t *testing.T) {
	digest := sha256.New()
	for seed := uint64(1); seed <= 20; seed++ {
		digest.Write([]byte(generateScenario(seed, scenarioOptions{family: "core", trafficSeconds: defaultTrafficSeconds})))
	}
	const recorded = "90169998619fe75a"
	if got := hex.EncodeToString(digest.Sum(nil)[:8]); got != recorded {
		t.Errorf("scenarios of seeds 1 to 20: got digest %s, want the recorded %s", got, recorded)
	}
}

// TestScenarioFamilies checks that each family generates planned work and faults, each of them with a time that is not negative.
func TestScenarioFamilies(t *testing.T) {
	for name, family := range scenarioFamilies {
		for seed := uint64(1); seed <= 50; seed++ {
			plan, faults := family(rand.New(rand.NewPCG(seed, 0)), defaultTrafficSeconds)
			if len(plan) == 0 || len(faults) == 0 {
				t.Fatalf("family %s, seed %d: got %d planned events and %d faults, want some of both", name, seed, len(plan), len(faults))
			}
			for _, event := range append(plan, faults...) {
				if !strings.HasPrefix(event, "at = ") || strings.HasPrefix(event, "at = -") {
					t.Fatalf("family %s, seed %d: got event %q, want one that begins with a time that is not negative", name, seed, event)
				}
			}
		}
	}
}
