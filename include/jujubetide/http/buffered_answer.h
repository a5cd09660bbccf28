#pragma once

#include "jujubetide/edge/shared_memory_share.h"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace httplib {
struct Response; // NOLINT(readability-identifier-naming)
} // namespace httplib

namespace jujubetide {

/// The body of an answer as it is read, held to a limit of its own and to the memory of the
/// process.
class buffered_answer final {
public:
    buffered_answer(std::size_t max_bytes, memory_use use)
        : max_bytes_(max_bytes), memory_(std::make_shared<shared_memory_share>(use)) {}

    /// Whether the body may have the length that the answer's head states, if any.
    [[nodiscard]] bool begin(const httplib::Response& head);
    /// Returns false, and takes no more, if the body becomes too large.
    [[nodiscard]] bool append(std::string_view bytes);
    [[nodiscard]] const std::string& body() const { return body_; }
    std::string take_body() { return std::move(body_); }
    /// Why the answer was not read to its end, or empty.
    [[nodiscard]] const std::string& error() const { return error_; }
    /// Accounts for the body; to be held for as long as the body is kept.
    [[nodiscard]] std::shared_ptr<const void> memory() const { return memory_; }

private:
    [[nodiscard]] bool reserve(std::size_t bytes);

    std::size_t max_bytes_;
    std::shared_ptr<shared_memory_share> memory_;
    /// Bytes that `memory_` accounts for.
    std::size_t reserved_ = 0;
    std::string body_;
    std::string error_;
};

} // namespace jujubetide
