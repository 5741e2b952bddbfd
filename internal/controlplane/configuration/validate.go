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

// matchOf returns what the route of an item matches.
func matchOf(route *item) routeMatch {
	return routeMatch{hostname: route.route.Hostname, pathPrefix: route.route.PathPrefix}
}

// before reports whether the match sorts before another one: by hostname, then by path prefix.
func (m routeMatch) before(other routeMatch) bool {
	if m.hostname != other.hostname {
		return m.hostname < other.hostname
	}
	return m.pathPrefix < other.pathPrefix
}

// rejectDuplicateMatch returns the rejection of two routes with the same match.
func rejectDuplicateMatch(first, second *item) *Rejection {
	return reject(CodeDuplicateMatch, "routes "+first.name+" and "+second.name)
}

// rejectUnknownService returns the rejection of a route with a target that does not exist.
func rejectUnknownService(route *item, service string) *Rejection {
	return reject(CodeUnknownService, "route "+route.name+" names "+service)
}

// validateUniqueMatches rejects two routes with the same hostname and path prefix.
func validateUniqueMatches(routes []*item) *Rejection {
	firsts := make(map[routeMatch]*item, len(routes))
	for _, entry := range routes {
		match := matchOf(entry)
		if other, exists := firsts[match]; exists {
			return rejectDuplicateMatch(other, entry)
		}
		firsts[match] = entry
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
				return rejectUnknownService(entry, target.Service)
			}
		}
	}
	return nil
}

// validate rejects a document in which two routes match the same requests or a route names an unknown service. It names the
// first route of the list that is at fault.
func (d *parsedDocument) validate() *Rejection {
	routes := itemsOfList(d.members, listRoutes)
	if rejection := validateUniqueMatches(routes); rejection != nil {
		return rejection
	}
	return validateServiceReferences(routes, itemsOfList(d.members, listServices))
}

// validateResult is parsedDocument.validate for the document that results from the update of a valid one. It looks only at
// what the update has changed.
func (u *update) validateResult(after *document) *Rejection {
	if rejection := u.validateMatches(after); rejection != nil {
		return rejection
	}
	return u.validateReferences(after)
}

// validateMatches rejects a document in which a route of the update matches the same requests as another one.
func (u *update) validateMatches(after *document) *Rejection {
	var rejection *Rejection
	atFault := uint64(math.MaxUint64)
	for _, upserted := range u.list(listRoutes) {
		first, second, found := after.routes.firstTwo(matchOf(upserted))
		if found && second.position < atFault {
			atFault, rejection = second.position, rejectDuplicateMatch(first.item, second.item)
		}
	}
	return rejection
}

// validateReferences rejects a document in which a route of the update names an unknown service, or any route one that the
// update has removed.
func (u *update) validateReferences(after *document) *Rejection {
	services := after.list(listServices)
	var atFault *listEntry
	consider := func(entry listEntry) {
		if unknownTarget(entry.item, services) != "" && (atFault == nil || entry.position < atFault.position) {
			atFault = &entry
		}
	}
	for _, upserted := range u.list(listRoutes) {
		if entry, found := after.list(listRoutes).get(upserted.name); found {
			consider(entry)
		}
	}
	for _, name := range u.removedNames(listServices) {
		if user, found := after.routes.firstUser(name); found {
			consider(user)
		}
	}
	if atFault == nil {
		return nil
	}
	return rejectUnknownService(atFault.item, unknownTarget(atFault.item, services))
}

// unknownTarget returns the first target of a route that is not among the services, or "" if there is none. No target has an
// empty name.
func unknownTarget(route *item, services *itemList) string {
	for _, target := range route.route.Targets {
		if _, known := services.get(target.Service); !known {
			return target.Service
		}
	}
	return ""
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
	parsed, rejection := parseDocument(command.Body)
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
