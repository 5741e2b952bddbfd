package configuration

import (
	"math"
	"strings"
)

// validateRoute checks what can be told of a route by itself.
func validateRoute(route Route) *Rejection {
	if route.Name == "" {
		return reject(CodeMissingField, "name of a route")
	}
	if route.Hostname == "" {
		return reject(CodeMissingField, "hostname of route "+route.Name)
	}
	if !strings.HasPrefix(route.PathPrefix, "/") || !strings.HasSuffix(route.PathPrefix, "/") {
		return reject(CodeBadPrefix, "route "+route.Name)
	}
	if route.Timeout <= 0 {
		return reject(CodeNoTimeout, "route "+route.Name)
	}
	return validateTargets(route)
}

// validateTargets checks the weights of a route.
func validateTargets(route Route) *Rejection {
	sum := 0.0
	for _, target := range route.Targets {
		if target.Weight < 0 {
			return reject(CodeNoWeight, "route "+route.Name)
		}
		if target.Service == "" {
			return reject(CodeUnknownService, "route "+route.Name+" has a target without a name")
		}
		sum += target.Weight
	}
	if sum <= 0 || math.IsInf(sum, 0) {
		return reject(CodeNoWeight, "route "+route.Name)
	}
	return nil
}

// routeMatch is where a route takes requests.
type routeMatch struct {
	hostname   string
	pathPrefix string
}

// validateUniqueMatches refuses two routes with the same host and prefix.
func validateUniqueMatches(routes []*item) *Rejection {
	names := make(map[routeMatch]string, len(routes))
	for _, entry := range routes {
		at := routeMatch{hostname: entry.route.Hostname, pathPrefix: entry.route.PathPrefix}
		if other, taken := names[at]; taken {
			return reject(CodeDuplicateMatch, "routes "+other+" and "+entry.name)
		}
		names[at] = entry.name
	}
	return nil
}

// validateServiceReferences refuses a route that names a service that is not listed, with any weight.
func validateServiceReferences(routes, services []*item) *Rejection {
	known := make(map[string]bool, len(services))
	for _, entry := range services {
		known[entry.name] = true
	}
	for _, entry := range routes {
		for _, target := range entry.route.Targets {
			if !known[target.Service] {
				return reject(CodeUnknownService, "route "+entry.name+" names "+target.Service)
			}
		}
	}
	return nil
}

// validate refuses a document whose parts do not fit together.
func (d *document) validate() *Rejection {
	routes := d.list(listRoutes)
	if rejection := validateUniqueMatches(routes); rejection != nil {
		return rejection
	}
	return validateServiceReferences(routes, d.list(listServices))
}

// validateGeneration refuses a generation that is not above the one that a change builds on.
func validateGeneration(generation, base uint64) *Rejection {
	if generation <= base {
		return reject(CodeGenerationNotAbove, "")
	}
	return nil
}

// ValidateCommand returns why a command is invalid whatever the state is, or nil. A change that was
// accepted before is never refused by it.
func ValidateCommand(command Command) *Rejection {
	switch command.Kind {
	case CommandReplace:
		return validateReplace(command)
	case CommandUpdate:
		return validateUpdate(command)
	default:
		return reject(CodeBadCommand, "kind")
	}
}

func validateReplace(command Command) *Rejection {
	parsed, rejection := readDocument(command.Body)
	if rejection != nil {
		return rejection
	}
	if rejection := validateGeneration(parsed.generation, command.Base); rejection != nil {
		return rejection
	}
	return parsed.validate()
}

func validateUpdate(command Command) *Rejection {
	change, rejection := readUpdate(command.Body)
	if rejection != nil {
		return rejection
	}
	if rejection := validateGeneration(change.generation, command.Base); rejection != nil {
		return rejection
	}
	return validateUniqueMatches(change.list(listRoutes))
}
