#include "jujubetide/base/memory_share.h"

namespace jujubetide {

bool memory_share::fits(std::size_t bytes) const {
    return budget_.allows(use_, size_, bytes);
}

bool memory_share::resize(std::size_t bytes) {
    if (!fits(bytes)) {
        ++budget_.refusals_;
        return false;
    }
    force(bytes);
    return true;
}

void memory_share::force(std::size_t bytes) {
    budget_.used_ = budget_.used_ - size_ + bytes;
    size_ = bytes;
}

} // namespace jujubetide
