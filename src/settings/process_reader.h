#pragma once

#include "settings/yaml_reader.h"

#include "jujubetide/settings/process_settings.h"

namespace jujubetide {

/// Reads the fields of a process's file; faults go to the reader's findings.
process_settings read_process(yaml_reader& reader);

} // namespace jujubetide
