#pragma once

// Settings of the logging library, the same for each source that includes it: lines go to standard
// error, since programs print their results on standard output, and no file is written. Without
// ELPP_THREAD_SAFE the library guards nothing against several threads that log.
#define ELPP_THREAD_SAFE
#define ELPP_CUSTOM_COUT std::cerr
#define ELPP_NO_DEFAULT_LOG_FILE
#include <iostream>
