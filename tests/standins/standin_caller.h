#pragma once

#include "jujubetide/base/endpoint.h"
#include "jujubetide/base/units.h"
#include "jujubetide/http/http_client.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace jujubetide {

/// What a caller got for one request to a model service.
struct caller_answer {
    /// Status of the last response; 0 when there was none.
    int status = 0;
    /// The pieces of a streamed answer, or the whole text.
    std::vector<std::string> pieces;
    std::string text;
    /// Whether the answer came with its end mark, its offsets without a gap or a repetition.
    bool whole = false;
    /// How often the caller was sent to another entry node.
    int moves = 0;
    /// `outcome` and `code` of the problem, where the answer is one.
    std::string outcome;
    std::string code;
    /// `Retry-After`, where there was one.
    std::string retry_after;
    /// What went wrong on the wire.
    std::string error;
};

/// A caller of the system, as a client library would be: follows `moved` events and redirects.
class standin_caller {
public:
    /// `on_piece` is asked after each piece whether to go on reading.
    using piece_check = std::function<bool(std::size_t pieces)>;

    standin_caller(endpoint entry, std::string key)
        : entry_(std::move(entry)), key_(std::move(key)) {}

    void set_header(const std::string& name, const std::string& value) { headers_[name] = value; }
    void set_timeout(millis timeout) { timeout_ = timeout; }

    caller_answer stream(const std::string& model, const std::string& prompt, std::uint32_t pieces,
                         const piece_check& on_piece = {});
    caller_answer whole(const std::string& model, const std::string& prompt, std::uint32_t pieces);
    /// A call to a plain service.
    absl::StatusOr<http_answer> call(const std::string& method, const std::string& target,
                                     const std::string& body);

private:
    struct stream_reader;
    void read_stream(const endpoint& entry, const std::string& method, const std::string& path,
                     const std::string& body, stream_reader& reader);

    endpoint entry_;
    std::string key_;
    std::map<std::string, std::string> headers_;
    millis timeout_{60'000};
};

} // namespace jujubetide
