/** Counters of one class in one pool, for metrics. */
package org.hickorytiller.admission

/**
 * @property offered requests that asked for a slot
 * @property refused requests refused on arrival
 * @property displaced waiting requests refused in favour of a customer further below its share
 * @property expired waiting requests refused because they could no longer start in time
 * @property cancelled waiting requests whose callers left
 * @property floorGrants grants out of the order of tiers, because the class had none for too long
 * @property preempted running requests cancelled for a more urgent tier
 * @property wastedTokens tokens that preempted requests had produced
 */
class ClassCounters {
    var offered = 0L
        internal set
    var refused = 0L
        internal set
    var displaced = 0L
        internal set
    var expired = 0L
        internal set
    var cancelled = 0L
        internal set
    var granted = 0L
        internal set
    var floorGrants = 0L
        internal set
    var preempted = 0L
        internal set
    var tokens = 0L
        internal set
    var wastedTokens = 0L
        internal set
}
