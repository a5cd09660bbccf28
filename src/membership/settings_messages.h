#pragma once

#include <msgpack.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace jujubetide::wire {

struct document_record {
    std::string path;
    std::string text;
    MSGPACK_DEFINE(path, text)
};

/// Kind `settings_fetch`: a question when `at` is 0, else an answer.
struct settings_message {
    /// Question: the revision at the asker, 0 for none. Answer: the revision that `documents` and
    /// `removed` apply to; 0 when the documents are whole.
    std::uint64_t base = 0;
    std::uint64_t at = 0;
    std::vector<document_record> documents;
    std::vector<std::string> removed;
    /// Hash of all documents at `at`.
    std::uint64_t documents_hash = 0;
    MSGPACK_DEFINE(base, at, documents, removed, documents_hash)
};

} // namespace jujubetide::wire
