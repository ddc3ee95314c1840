// Package ramp bounds what a server gets while it warms up, from all VMs together.
//
// # Usage
//
//	ga := ramp.New()
//	ga.Look(now, age, listed) // a few times a second
//	if ga.Take(now, up.Process(), bounds.Most(perSecond)) {
//		// send
//	}
//
// # Why one VM
//
// A server that has just started, or whose data centre was evacuated, bears a few requests a
// second and crashes when it gets more. The bound is one for the whole fleet: a share of it
// for each of a hundred VMs is less than one request, and whoever may send at all may send one
// at any moment. So one VM sends all that such a server gets, its owner (plan.Warming); others
// ask that one, and it counts.
//
// # When it may speak for the fleet
//
// Two VMs that both take themselves for the owner would send twice what the server bears. Each
// ranks all VMs that it knows by what their entries say, so that two can only disagree if one
// does not know the other. An owner counts only while its own entry has stood for Handover,
// and its copy of the store was never older than FreshFor meanwhile: whoever else takes itself
// for the owner has a copy as fresh, and knows of it by then. A VM that has just started, or
// that hears of nothing, sends nothing.
//
// # Without news
//
// A VM that is cut off from the store and from all others does not hear that a data centre was
// evacuated, and that its servers are cold since. What it and others in its place send there
// cannot be bounded by what they know, so that they send nothing to servers that have a bound:
// see Gate.Blind.
package ramp
