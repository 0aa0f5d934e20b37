/** Reads the processor time of another process. */
package org.hickorytiller.loadtest

import java.time.Duration

/** Returns the processor time that the process [pid] has used, or null if the system does not report it. */
internal fun processorTime(pid: Long): Duration? =
    ProcessHandle.of(pid).flatMap { it.info().totalCpuDuration() }.orElse(null)
