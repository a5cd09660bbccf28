#include "platform/call_headers.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <string>

using namespace jujubetide;

namespace {

request_head head_with(std::initializer_list<header_list::field> fields) {
    request_head head;
    head.method = "POST";
    head.target = "/x/";
    for (const auto& [name, value] : fields) {
        head.headers.add(name, value);
    }
    return head;
}

} // namespace

TEST_CASE("the fields of a call are decoded from its headers") {
    const platform::call_headers codec;
    const auto fields = codec.read_call(head_with({{"host", "a.example:80"},
                                                   {"X-Attempt-Id", "id-1"},
                                                   {"X-Deadline-Ms", "1200"},
                                                   {"Authorization", "Token k"},
                                                   {"X-Token-Usage", "1460,80"},
                                                   {"X-Prompt-Prefix", "5c:800, 91:410,e4:250"},
                                                   {"X-Length-Hint", "33"}}));
    REQUIRE(fields.ok());
    CHECK(fields->host == "a.example");
    CHECK(fields->attempt_id == "id-1");
    CHECK(fields->timeout == millis{1'200});
    CHECK(fields->api_key == "k");
    CHECK(fields->prompt_tokens == 1'460);
    CHECK(fields->max_output_tokens == 80);
    REQUIRE(fields->prompt_parts.size() == 3);
    CHECK(fields->prompt_parts[1].id == "91");
    CHECK(fields->prompt_parts[2].tokens == 250);
    CHECK(fields->expected_output_tokens == 33);
}

TEST_CASE("malformed header values are rejected") {
    const platform::call_headers codec;
    const auto field = GENERATE(table<std::string, std::string>({{"X-Deadline-Ms", "soon"},
                                                                 {"X-Deadline-Ms", "-5"},
                                                                 {"X-Token-Usage", "1"},
                                                                 {"X-Token-Usage", "1,x"},
                                                                 {"X-Prompt-Prefix", "5c800"},
                                                                 {"X-Prompt-Prefix", ":8"}}));
    CHECK_FALSE(codec.read_call(head_with({{std::get<0>(field), std::get<1>(field)}})).ok());
}

TEST_CASE("a backend server gets the caller's headers except those that only the system may set") {
    const platform::call_headers codec;
    const request_head head = head_with({{"Host", "a.example"},
                                         {"X-Attempt-Id", "id-1"},
                                         {"X-Model", "m"},
                                         {"X-Own", "kept"},
                                         {"Authorization", "Token secret"},
                                         {"X-Tenant", "forged"},
                                         {"x-hold", "forged"},
                                         {"X-Pin-Ms", "forged"},
                                         {"X-Kv-Backup", "forged"},
                                         {"Kv-From", "forged"},
                                         {"Kv-Fetch", "forged"},
                                         {"X-Expect-Instance", "forged"},
                                         {"X-Request-Priority", "forged"},
                                         {"X-Deadline-Ms", "99999"},
                                         {"Content-Length", "3"},
                                         {"Transfer-Encoding", "chunked"},
                                         {"Connection", "keep-alive, X-Per-Connection"},
                                         {"X-Per-Connection", "dropped"},
                                         {"Keep-Alive", "timeout=5"}});
    attempt_fields fields;
    fields.server = backend_server_id("i-1");
    fields.timeout = millis{500};
    fields.customer = customer_id("c");
    fields.priority = 3;
    const header_list sent = codec.server_headers(head, fields);
    CHECK(sent.find("Host") == "a.example");
    CHECK(sent.find("X-Attempt-Id") == "id-1");
    CHECK(sent.find("X-Model") == "m");
    CHECK(sent.find("X-Own") == "kept");
    CHECK(sent.find("X-Tenant") == "c");
    CHECK(sent.find("X-Expect-Instance") == "i-1");
    CHECK(sent.find("X-Deadline-Ms") == "500");
    CHECK(sent.find("X-Request-Priority") == "3");
    for (const char* name :
         {"Authorization", "X-Hold", "X-Pin-Ms", "X-Kv-Backup", "Kv-From", "Kv-Fetch", "Connection",
          "X-Per-Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length"}) {
        CHECK_FALSE(sent.has(name));
    }
    for (const auto& [name, value] : sent.fields()) {
        CHECK(value != "forged");
    }
}

TEST_CASE("an attempt names the server from which cached tokens are to be fetched") {
    const platform::call_headers codec;
    attempt_fields fields;
    fields.fetch_from = endpoint{"10.0.0.9", 8080};
    const auto sent = codec.server_headers(head_with({{"Kv-Fetch", "forged"}}), fields);
    CHECK(sent.find("Kv-Fetch") == "10.0.0.9:8080");
}

TEST_CASE("a server's answer headers are decoded") {
    const platform::call_headers codec;
    response_head head;
    head.status = 503;
    head.headers.add("X-Not-Executed", "1");
    CHECK(codec.read_response(head).not_run);
    head = {};
    head.status = 421;
    CHECK(codec.read_response(head).not_run);
    CHECK(codec.read_response(head).wrong_server);
    head = {};
    head.status = 503;
    CHECK_FALSE(codec.read_response(head).not_run);
    head.headers.add("X-Upstream-Signature", "s");
    head.headers.add("X-Attempt-Id", "id");
    CHECK(codec.read_response(head).is_signed);
    CHECK(codec.read_response(head).attempt_id == "id");
}

TEST_CASE("a server's limit is decoded as calls per second, and nonsense is reported as such") {
    const platform::call_headers codec;
    const auto read = [&codec](const std::string& value) {
        response_head head;
        head.headers.add("Server-Limit", value);
        return codec.read_response(head);
    };
    CHECK(read("1.25").calls_per_second == 1.25);
    CHECK(read(" 40 ").calls_per_second == 40.0);
    CHECK(read("0").calls_per_second == 0.0);
    for (const char* value : {"", "-1", "nan", "inf", "1e999", "many", "1,5", "1.0 2.0"}) {
        INFO(value);
        CHECK_FALSE(read(value).calls_per_second);
        CHECK(read(value).has_malformed_limit);
    }
    CHECK_FALSE(codec.read_response({}).calls_per_second);
    CHECK_FALSE(codec.read_response({}).has_malformed_limit);
}

TEST_CASE("Retry-After gives the delay in seconds") {
    const platform::call_headers codec;
    CHECK(codec.local_response_headers("id", millis{1'250}).find("Retry-After") == "1.250");
    CHECK_FALSE(codec.local_response_headers("id", {}).has("Retry-After"));
}

TEST_CASE("each Connection field of a message names headers of its hop") {
    const platform::call_headers codec;
    const header_list sent = codec.server_headers(head_with({{"Connection", "x-one ,X-Two"},
                                                             {"X-One", "1"},
                                                             {"x-two", "2"},
                                                             {"connection", "X-Three,,"},
                                                             {"X-THREE", "3"},
                                                             {"X-Four", "4"}}),
                                                  {});
    CHECK_FALSE(sent.has("X-One"));
    CHECK_FALSE(sent.has("X-Two"));
    CHECK_FALSE(sent.has("X-Three"));
    CHECK(sent.find("X-Four") == "4");
}

// Each header was looked for in the whole value of Connection, 0.3 s for a head of 64 KiB.
TEST_CASE("heads with thousands of Connection options are forwarded before others' requests end") {
    const platform::call_headers codec;
    request_head head = head_with({});
    std::string options = "close";
    constexpr int option_count = 8'000;
    for (int i = 0; i < option_count; ++i) {
        options += ",o" + std::to_string(i);
    }
    head.headers.add("Connection", options);
    constexpr int field_count = 2'000;
    for (int i = 0; i < field_count; ++i) {
        head.headers.add("h" + std::to_string(i), "");
    }
    constexpr int requests = 40;
    // The time limit of the others' requests.
    constexpr millis bound{2'500};
    const auto begin = std::chrono::steady_clock::now();
    for (int i = 0; i < requests; ++i) {
        CHECK(codec.server_headers(head, {}).fields().size() >= field_count);
    }
    CHECK(std::chrono::steady_clock::now() - begin < bound);
}
