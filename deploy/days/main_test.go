package main

import (
	"crypto/sha256"
	"encoding/hex"
	"math/rand/v2"
	"strings"
	"testing"
)

// TestSeedGivesSameDay holds the days that the journal names by their seeds: a changed draw must get a family of its own.
func TestSeedGivesSameDay(t *testing.T) {
	digest := sha256.New()
	for seed := uint64(1); seed <= 20; seed++ {
		digest.Write([]byte(draw(seed, dayOptions{family: "core", length: defaultLength})))
	}
	const recorded = "90169998619fe75a"
	if got := hex.EncodeToString(digest.Sum(nil)[:8]); got != recorded {
		t.Errorf("days of the seeds 1 to 20 have the digest %s, %s when they were recorded", got, recorded)
	}
}

// TestFamilies draws days of all families and looks for faults and for times outside the day.
func TestFamilies(t *testing.T) {
	for name, family := range families {
		for seed := uint64(1); seed <= 50; seed++ {
			plan, faults := family(rand.New(rand.NewPCG(seed, 0)), defaultLength)
			if len(plan) == 0 || len(faults) == 0 {
				t.Fatalf("%s, seed %d: %d lines of planned work, %d faults", name, seed, len(plan), len(faults))
			}
			for _, line := range append(plan, faults...) {
				if !strings.HasPrefix(line, "at = ") || strings.HasPrefix(line, "at = -") {
					t.Fatalf("%s, seed %d: %q", name, seed, line)
				}
			}
		}
	}
}
