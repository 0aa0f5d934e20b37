/** Reads how much processor time another process has used. */
package org.hickorytiller.loadtest

import java.time.Duration

/** Processor time of the process [pid], or null if the system does not tell. */
internal fun processorTime(pid: Long): Duration? =
    ProcessHandle.of(pid).flatMap { it.info().totalCpuDuration() }.orElse(null)
