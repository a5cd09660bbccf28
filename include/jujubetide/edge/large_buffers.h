#pragma once

namespace jujubetide {

/// Makes the allocator return large buffers to the system as soon as they are freed, in every
/// thread. Returns whether it does.
bool return_large_buffers();

} // namespace jujubetide
