/** Counters of one class in one pool, for metrics. */
package org.hickorytiller.admission

/**
 * @property offered requests that arrived, accepted or not
 * @property refused requests refused on arrival
 * @property displaced waiting requests refused in favour of a customer further below its share
 * @property expired waiting requests refused because they waited for the full timeout of the class
 * @property cancelled waiting requests whose callers disconnected
 * @property floorGrants grants by the floor rule, ahead of more urgent tiers, because the class was starving
 * @property preempted running requests cancelled for a more urgent tier
 * @property wastedTokens tokens that had been streamed to preempted requests
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
