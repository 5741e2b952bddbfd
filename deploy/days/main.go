// Command days draws days of the bench on which faults of the core cross each other, one file for each seed.
//
//	go run ./deploy/days -out DIRECTORY -first 1 -count 40 [-family NAME] [-length SECONDS] [-closing KIND]
//
// The same seed always gives the same day. README.md describes how they are played.
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
	out := flag.String("out", ".", "the directory that takes the files")
	first := flag.Uint64("first", 1, "the first seed")
	count := flag.Uint64("count", 1, "how many days")
	closing := flag.String("closing", "", "the final fault of all days; empty: drawn")
	family := flag.String("family", "core", "what the days are made of: "+strings.Join(familyNames(), ", "))
	length := flag.Float64("length", defaultLength, "seconds of traffic of the site's days")
	flag.Parse()
	if err := writeAll(*out, *first, *count, dayOptions{family: *family, length: *length, closing: *closing}); err != nil {
		log.Fatal(err)
	}
}

// defaultLength is how many seconds of traffic the operators' days have.
const defaultLength = 34.0

// dayOptions are the options that all days of one call share.
type dayOptions struct {
	family  string
	length  float64 // seconds
	closing string  // empty: drawn
}

func writeAll(directory string, first, count uint64, wanted dayOptions) error {
	if families[wanted.family] == nil {
		return fmt.Errorf("no family %q; there are %s", wanted.family, strings.Join(familyNames(), ", "))
	}
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return err
	}
	for seed := first; seed < first+count; seed++ {
		path := filepath.Join(directory, fmt.Sprintf("%s-%d.toml", wanted.family, seed))
		if err := os.WriteFile(path, []byte(draw(seed, wanted)), 0o644); err != nil {
			return err
		}
	}
	return nil
}

// draw returns the day of a seed.
func draw(seed uint64, wanted dayOptions) string {
	random := rand.New(rand.NewPCG(seed, 0))
	closing := wanted.closing
	var day strings.Builder
	fmt.Fprintf(&day, "[[day]]\nname = \"%s-%d\"\nseed = %d\n", wanted.family, seed, seed)
	if closing == "" {
		closing = choose(random, closings)
	}
	if closing != "none" {
		fmt.Fprintf(&day, "closing = { kind = %s, down_s = %.2f }\n", closing, between(random, 0.6, 1.8))
	}
	plan, faults := families[wanted.family](random, wanted.length)
	writeList(&day, "plan", plan)
	writeList(&day, "faults", faults)
	return day.String()
}

func writeList(day *strings.Builder, name string, lines []string) {
	fmt.Fprintf(day, "%s = [\n", name)
	for _, line := range lines {
		fmt.Fprintf(day, "  { %s },\n", line)
	}
	day.WriteString("]\n")
}

// crossing draws faults of the core that cross each other, during orders and other planned work.
func crossing(random *rand.Rand, length float64) (plan, faults []string) {
	return drawPlan(random, length), drawFaults(random, length)
}

// drawPlan keeps orders coming all day, so that each a fault meets some, and adds other planned work.
func drawPlan(random *rand.Rand, length float64) []string {
	lines := []string{
		fmt.Sprintf(`at = 1.5, kind = "config_storm", for_s = %.1f, gap_s = %.2f`, length-3, between(random, 0.25, 0.9)),
		fmt.Sprintf(`at = 3.0, kind = "config_race", count = %d, gap_s = %.2f`, 4+random.IntN(8), between(random, 0.7, 2.5)),
	}
	for range 1 + random.IntN(3) {
		lines = append(lines, fmt.Sprintf("at = %.2f, %s", between(random, 2, length-6), choose(random, planned)))
	}
	return lines
}

// meanGroupPause is how many seconds lie between groups of faults on days longer than the operators'.
const meanGroupPause = 12.0

// drawFaults draws groups of faults, two or three on a day of the usual length; those of a group cross each other.
func drawFaults(random *rand.Rand, length float64) []string {
	var lines []string
	at := between(random, 2, 6)
	groups := 2 + random.IntN(2)
	if length > defaultLength {
		groups = int(length / meanGroupPause)
	}
	for range groups {
		for range 2 + random.IntN(2) {
			lines = append(lines, fmt.Sprintf("at = %.2f, %s", at+between(random, 0, 3), choose(random, faultsOfCore)))
		}
		at += between(random, 5, 11)
	}
	if random.IntN(2) == 0 {
		lines = append(lines, fmt.Sprintf(`at = %.2f, kind = "ack_lost", x = 0.7, for_s = 12.0`, between(random, 2, 20)))
	}
	return lines
}

func choose(random *rand.Rand, from []string) string { return from[random.IntN(len(from))] }

func between(random *rand.Rand, low, high float64) float64 {
	return low + random.Float64()*(high-low)
}
