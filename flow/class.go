package flow

import "eelgrasswharf.example/eelgrasswharf/qos"

// Classes has the quality of service of routes by public address.
type Classes map[Endpoint]qos.Class

// SetClasses sets what the routes of the target's service state. Addresses that are not in
// the map have the zero class. What waits gets the new class of its route, and keeps the old
// one if the route no longer states anything: it was accepted under that one.
func (a *Agent) SetClasses(classes Classes) {
	a.classes, a.mostUrgent = classes, classes.mostUrgent()
	a.waiting.queue.SetClass(a.classOf)
}

// mostUrgent returns the stated class with the highest priority, among equals the one with the
// longest objective, zero if none is stated.
func (c Classes) mostUrgent() qos.Class {
	var most qos.Class
	for _, class := range c {
		switch {
		case !class.Stated():
		case !most.Stated(), class.Priority < most.Priority,
			class.Priority == most.Priority && class.Objective > most.Objective:
			most = class
		}
	}
	return most
}

// classOf returns the class of the route that a flow belongs to.
func (a *Agent) classOf(key Key) qos.Class { return a.classes[key.Public] }
