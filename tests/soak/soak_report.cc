#include "soak/soak_report.h"

#include <cerrno>
#include <iostream>
#include <unistd.h>

namespace jujubetide {

void soak_report::write(std::string line) const {
    line += '\n';
    ssize_t written = -1;
    do {
        written = ::write(file_, line.data(), line.size());
    } while (written < 0 && errno == EINTR);
    if (written != static_cast<ssize_t>(line.size())) {
        std::cerr << "report lost: " << line;
    }
}

} // namespace jujubetide
