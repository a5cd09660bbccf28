// The logging library ships its sources in its include folder; this is the one place that compiles
// them. Its warnings are not ours.
#include "edge/easylogging_setup.h"

#pragma GCC diagnostic ignored "-Wall"
#pragma GCC diagnostic ignored "-Wextra"
#pragma GCC diagnostic ignored "-Wpedantic"
#pragma GCC diagnostic ignored "-Wshadow"
#include <easylogging++.cc> // NOLINT(bugprone-suspicious-include)
