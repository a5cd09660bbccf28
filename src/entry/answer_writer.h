#pragma once

#include "entry/answer_log.h"
#include "entry/hand_over.h"

#include <string>

namespace jujubetide {

/// `http://ADDRESS:PORT/v1/requests/ID`.
std::string request_location(const endpoint& entry, const request_id& request);

/// The texts of a streamed answer, as server-sent events.
std::string piece_event(const hand_over_record& record, piece_offset offset,
                        const std::string& piece);
/// The events that end a stream: the finish reason and `[DONE]`, an error, or where the request
/// moved to. `next` is the offset after the last piece that was sent.
std::string end_events(const hand_over_record& record, const answer_end& end, piece_offset next);

/// The body of an answer that was asked for whole.
std::string whole_body(const hand_over_record& record, const std::string& text,
                       std::size_t piece_count, const answer_whole& end);

} // namespace jujubetide
