package configuration

import (
	"math"
	"strings"
)

// checkRoute checks what can be told of a route by itself.
func checkRoute(route Route) *Refusal {
	if route.Name == "" {
		return refuse(MissingField, "name of a route")
	}
	if route.Hostname == "" {
		return refuse(MissingField, "hostname of route "+route.Name)
	}
	if !strings.HasPrefix(route.PathPrefix, "/") || !strings.HasSuffix(route.PathPrefix, "/") {
		return refuse(BadPrefix, "route "+route.Name)
	}
	if route.Timeout <= 0 {
		return refuse(NoTimeout, "route "+route.Name)
	}
	return checkTargets(route)
}

// checkTargets checks the weights of a route.
func checkTargets(route Route) *Refusal {
	sum := 0.0
	for _, target := range route.Targets {
		if target.Weight < 0 {
			return refuse(NoWeight, "route "+route.Name)
		}
		if target.Service == "" {
			return refuse(UnknownService, "route "+route.Name+" has a target without a name")
		}
		sum += target.Weight
	}
	if sum <= 0 || math.IsInf(sum, 0) {
		return refuse(NoWeight, "route "+route.Name)
	}
	return nil
}

// place is where a route takes requests.
type place struct {
	host   string
	prefix string
}

// checkPlaces refuses two routes with the same host and prefix.
func checkPlaces(routes []*item) *Refusal {
	names := make(map[place]string, len(routes))
	for _, entry := range routes {
		at := place{host: entry.route.Hostname, prefix: entry.route.PathPrefix}
		if other, taken := names[at]; taken {
			return refuse(SamePlace, "routes "+other+" and "+entry.name)
		}
		names[at] = entry.name
	}
	return nil
}

// checkServices refuses a route that names a service that is not listed, with any weight.
func checkServices(routes, services []*item) *Refusal {
	known := make(map[string]bool, len(services))
	for _, entry := range services {
		known[entry.name] = true
	}
	for _, entry := range routes {
		for _, target := range entry.route.Targets {
			if !known[target.Service] {
				return refuse(UnknownService, "route "+entry.name+" names "+target.Service)
			}
		}
	}
	return nil
}

// check refuses a document whose parts do not fit together.
func (d *document) check() *Refusal {
	routes := d.list(listRoutes)
	if refusal := checkPlaces(routes); refusal != nil {
		return refusal
	}
	return checkServices(routes, d.list(listServices))
}

// checkRise refuses a generation that is not above the one that a change builds on.
func checkRise(generation, base uint64) *Refusal {
	if generation <= base {
		return refuse(GenerationNotAbove, "")
	}
	return nil
}

// CheckStatic returns why a command is invalid whatever the state is, or nil. A change that was
// accepted before is never refused by it.
func CheckStatic(command Command) *Refusal {
	switch command.Kind {
	case Replace:
		return checkReplace(command)
	case Update:
		return checkUpdate(command)
	default:
		return refuse(BadCommand, "kind")
	}
}

func checkReplace(command Command) *Refusal {
	whole, refusal := readDocument(command.Body)
	if refusal != nil {
		return refusal
	}
	if refusal := checkRise(whole.generation, command.Base); refusal != nil {
		return refusal
	}
	return whole.check()
}

func checkUpdate(command Command) *Refusal {
	change, refusal := readUpdate(command.Body)
	if refusal != nil {
		return refusal
	}
	if refusal := checkRise(change.generation, command.Base); refusal != nil {
		return refusal
	}
	return checkPlaces(change.list(listRoutes))
}
