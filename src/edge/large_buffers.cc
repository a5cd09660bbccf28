#include "jujubetide/edge/large_buffers.h"

#include <malloc.h>

namespace jujubetide {
namespace {

/// Without a fixed threshold, glibc raises it with the first larger buffer that is freed, and keeps
/// the memory of later ones.
constexpr int min_separate_allocation = 128 * 1024;

} // namespace

bool return_large_buffers() {
    return mallopt(M_MMAP_THRESHOLD, min_separate_allocation) != 0;
}

} // namespace jujubetide
