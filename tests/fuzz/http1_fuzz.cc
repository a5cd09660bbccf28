// Feeds arbitrary bytes as HTTP/1.1 messages: the parser must not crash, and its output must not
// depend on the size of the pieces.
#include "jujubetide/http1/message_parser.h"

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <string>

using namespace jujubetide;

namespace {

class recorded_message final : public message_events {
public:
    std::string text;

protected:
    void do_request_head(request_head head) override {
        text += head.method;
        text += ' ';
        text += head.target;
        text += '\n';
        add(head.headers);
    }
    void do_response_head(response_head head) override {
        text += std::to_string(head.status) + "\n";
        add(head.headers);
    }
    void do_body(std::string_view bytes) override { text += bytes; }

private:
    void add(const header_list& headers) {
        for (const auto& [name, value] : headers.fields()) {
            text += name;
            text += '=';
            text += value;
            text += '\n';
        }
    }
};

/// The parsed message when `bytes` are fed in pieces of `piece_size`, or "malformed".
std::string parse(message_parser::kind kind, std::string_view bytes, std::size_t piece_size) {
    recorded_message message;
    message_parser parser(kind, message, 16'384);
    while (!bytes.empty() && parser.state() == parse_state::incomplete) {
        bytes.remove_prefix(std::max<std::size_t>(1, parser.feed(bytes.substr(0, piece_size))));
    }
    parser.feed_eof();
    if (parser.state() == parse_state::malformed) {
        return "malformed";
    }
    return message.text;
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, // NOLINT
                                      std::size_t size) {
    const std::string_view bytes(reinterpret_cast<const char*>(data), size);
    for (const auto kind : {message_parser::kind::request, message_parser::kind::response}) {
        const std::string at_once = parse(kind, bytes, bytes.size());
        constexpr std::size_t small_piece_size = 3;
        if (parse(kind, bytes, small_piece_size) != at_once) {
            std::abort();
        }
    }
    return 0;
}
