package history

import (
	"reflect"
	"testing"
	"time"
)

func TestHistory_ViewDelays(t *testing.T) {
	recorded := History{
		Agents: 2, End: time.Minute,
		Bounds: Bounds{Contact: 3 * time.Second},
		Faults: []Fault{{From: 20 * time.Second, To: 30 * time.Second, Agents: []int{1}}},
		Operations: []Operation{
			{Kind: Replace, Generation: 4, Return: 10 * time.Second, Outcome: Acknowledged},
			{Kind: Update, Generation: 9, Return: 25 * time.Second, Outcome: Acknowledged},
			{Kind: Update, Generation: 11, Return: 26 * time.Second, Outcome: Unknown},
			{Kind: Read, Generation: 9, Return: 27 * time.Second, Outcome: Acknowledged},
			{Kind: Update, Generation: 12, Return: 59 * time.Second, Outcome: Acknowledged}, // never shown
		},
		Views: []View{
			{Agent: 0, At: 9900 * time.Millisecond, Generation: 4}, {Agent: 1, At: 10200 * time.Millisecond, Generation: 5},
			{Agent: 0, At: 25300 * time.Millisecond, Generation: 9}, {Agent: 1, At: 31 * time.Second, Generation: 10},
		},
	}
	want := []ViewDelay{
		{Delay: 0, InContact: true}, {Delay: 300 * time.Millisecond, InContact: true},
		{Delay: 200 * time.Millisecond, InContact: true}, {Delay: 6 * time.Second, InContact: false},
	}
	if got := recorded.ViewDelays(); !reflect.DeepEqual(got, want) {
		t.Errorf("ViewDelays() = %v, want %v", got, want)
	}
}
