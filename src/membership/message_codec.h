#pragma once

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <msgpack.hpp>

#include <string>

namespace jujubetide::wire {

/// Encodes one typed message.
template <class Message>
std::string encode(const Message& message) {
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, message);
    return {buffer.data(), buffer.size()};
}

/// Reads one typed message that fills the whole body. InvalidArgument for anything else. Every
/// element takes a byte at least, so that limits of the body's size bound what is allocated.
template <class Message>
absl::StatusOr<Message> decode(const std::string& body) {
    constexpr std::size_t max_depth = 8;
    const std::size_t size = body.size();
    const msgpack::unpack_limit limit(size, size, size, size, size, max_depth);
    try {
        std::size_t offset = 0;
        const msgpack::object_handle handle =
            msgpack::unpack(body.data(), size, offset, nullptr, nullptr, limit);
        if (offset != size) {
            return absl::InvalidArgumentError("bytes follow the message");
        }
        return handle.get().as<Message>();
    } catch (const msgpack::unpack_error& error) {
        return absl::InvalidArgumentError(error.what());
    } catch (const msgpack::type_error& error) {
        return absl::InvalidArgumentError(error.what());
    }
}

} // namespace jujubetide::wire
