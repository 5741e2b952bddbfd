package configuration

import (
	"math"
	"slices"
	"strings"
)

// validateRoute checks a route by itself, without regard to other routes and to the services.
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
		return reject(CodeInvalidTimeout, "route "+route.Name)
	}
	return validateTargets(route)
}

// validateTargets checks the targets and weights of a route.
func validateTargets(route Route) *Rejection {
	sum := 0.0
	for _, target := range route.Targets {
		if target.Weight < 0 {
			return reject(CodeInvalidWeights, "route "+route.Name)
		}
		if target.Service == "" {
			return reject(CodeUnknownService, "route "+route.Name+" has a target without a name")
		}
		sum += target.Weight
	}
	if sum <= 0 || math.IsInf(sum, 0) {
		return reject(CodeInvalidWeights, "route "+route.Name)
	}
	return nil
}

// routeMatch is the hostname and path prefix that a route matches. No two routes may have the same.
type routeMatch struct {
	hostname   string
	pathPrefix string
}

// validateUniqueMatches rejects two routes with the same hostname and path prefix.
func validateUniqueMatches(routes []*item) *Rejection {
	names := make(map[routeMatch]string, len(routes))
	for _, entry := range routes {
		match := routeMatch{hostname: entry.route.Hostname, pathPrefix: entry.route.PathPrefix}
		if other, exists := names[match]; exists {
			return reject(CodeDuplicateMatch, "routes "+other+" and "+entry.name)
		}
		names[match] = entry.name
	}
	return nil
}

// validateServiceReferences rejects a route with a target that does not exist, even if the weight of the target is 0.
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

// validate rejects a document in which two routes match the same requests or a route names an unknown service.
func (d *document) validate() *Rejection {
	routes := d.list(listRoutes)
	if rejection := validateUniqueMatches(routes); rejection != nil {
		return rejection
	}
	return validateServiceReferences(routes, d.list(listServices))
}

// validateGeneration rejects a generation that is not above the one that the change is based on.
func validateGeneration(generation, base uint64) *Rejection {
	if generation <= base {
		return reject(CodeGenerationNotAbove, "")
	}
	return nil
}

// ValidateCommand returns the reason why a command is invalid in every state, or nil. The server calls it before it
// proposes the command. It must never become stricter for commands that were accepted before, because their outcome is
// final. Only tests pass rules to omit.
func ValidateCommand(command Command, omit ...Rule) *Rejection {
	checkGeneration := !slices.Contains(omit, RuleGenerationIncreases)
	switch command.Kind {
	case CommandReplace:
		return validateReplace(command, checkGeneration)
	case CommandUpdate:
		return validateUpdate(command, checkGeneration)
	default:
		return reject(CodeBadCommand, "kind")
	}
}

// validateReplace checks a CommandReplace as far as possible without the state. It compares the generation with the base
// only if checkGeneration is set.
func validateReplace(command Command, checkGeneration bool) *Rejection {
	parsed, rejection := readDocument(command.Body)
	if rejection != nil {
		return rejection
	}
	if rejection := validateGeneration(parsed.generation, command.Base); rejection != nil && checkGeneration {
		return rejection
	}
	return parsed.validate()
}

// validateUpdate checks a CommandUpdate as far as possible without the state. It compares the generation with the base
// only if checkGeneration is set.
func validateUpdate(command Command, checkGeneration bool) *Rejection {
	change, rejection := readUpdate(command.Body)
	if rejection != nil {
		return rejection
	}
	if rejection := validateGeneration(change.generation, command.Base); rejection != nil && checkGeneration {
		return rejection
	}
	return validateUniqueMatches(change.list(listRoutes))
}
