/**
 * The JSON mapper for data that is bound to classes. Records from the log are decoded leniently, since a newer writer
 * may add fields.
 */
package org.hickorytiller.core

import com.fasterxml.jackson.databind.DeserializationFeature
import com.fasterxml.jackson.databind.ObjectMapper
import com.fasterxml.jackson.databind.SerializationFeature
import com.fasterxml.jackson.module.kotlin.registerKotlinModule

/** Mapper for log records and HTTP bodies. Thread-safe. Unknown properties are ignored. */
val json: ObjectMapper =
    ObjectMapper()
        .registerKotlinModule()
        .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
        .enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS)
