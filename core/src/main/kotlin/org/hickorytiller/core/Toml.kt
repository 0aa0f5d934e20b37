/** The TOML mapper. Settings and configuration are validated strictly: an unknown name is an error. */
package org.hickorytiller.core

import com.fasterxml.jackson.dataformat.toml.TomlMapper

/** Mapper for TOML documents. Thread-safe. */
val toml: TomlMapper = TomlMapper.builder().build()
