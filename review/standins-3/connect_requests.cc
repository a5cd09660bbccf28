// Requests with the method CONNECT and a body with a length: does what is in the body run?
#include "nodes.h"
#include "servers.h"

#include <algorithm>

using namespace standin;
using std::chrono::milliseconds;

namespace {

constexpr int request_count = 5;
constexpr milliseconds answer_time{2'500};

/// A request in the body of another one.
std::string inner_request(int number) {
    return caller_request("GET", "/hugo494/inner", "inner-" + std::to_string(number), "key-one");
}

std::string outer_request(int number) {
    const std::string body = inner_request(number);
    const std::string first_line =
        has_trouble() ? "CONNECT ficu95.example:80" : "POST /hugo494/outer";
    return first_line + " HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: outer-" +
           std::to_string(number) +
           "\r\nX-Deadline-Ms: 2500\r\nAuthorization: Token key-one\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Sends one request on a connection of its own, and returns how many answers come.
int send_outer(const address& front, int number, record& to) {
    const socket_handle line = connect_to(front, 1'000);
    if (!line.is_open() || !line.send_all(outer_request(number))) {
        return 0;
    }
    const auto deadline = std::chrono::steady_clock::now() + answer_time;
    message_reader reader(line);
    int answers = 0;
    while (const auto answer = reader.read(deadline)) {
        ++answers;
        to.write("request outer-" + std::to_string(number) + ": answer " + std::to_string(answers) +
                 " is " + answer->first_line + ", " + answer->body);
    }
    return answers;
}

[[noreturn]] void run(record& to) {
    place where;
    row_store& store = *new row_store(where.store());
    plain_server& server =
        *new plain_server(where.at(101, 8422), "i-7f3a91c2", milliseconds(30), to);
    writers& written = *new writers(store, {&server});
    (void)written;
    node_list nodes;
    nodes.push_back(std::make_unique<node>(where, 1, "bratislava-port", false, to));
    nodes.front()->start();
    const address front = nodes.front()->front();
    if (!wait_until(
            [&] {
                const auto answer =
                    call(front, caller_request("GET", "/hugo494/", "calm", "key-one"),
                         milliseconds(2'500));
                return answer && answer->status() == 200;
            },
            milliseconds(15'000))) {
        to.write("the node does not serve");
        end_run(where, nodes, could_not_run);
    }
    int answered = 0;
    for (int i = 0; i < request_count; ++i) {
        answered += send_outer(front, i, to) > 0 ? 1 : 0;
    }
    int smuggled = 0;
    int changed = 0;
    for (const message& one : server.requests()) {
        const std::string id = one.header("x-attempt-id");
        if (id.rfind("inner-", 0) == 0) {
            ++smuggled;
            to.write("BROKEN: the server ran " + id + ", which nobody sent but in a body");
        } else if (id.rfind("outer-", 0) == 0 && one.body != inner_request(std::atoi(&id[6]))) {
            ++changed;
            to.write("BROKEN: the server ran " + id + " with another body");
        }
    }
    if (answered < request_count) {
        to.write("only " + std::to_string(answered) + " requests were answered");
        end_run(where, nodes, could_not_run);
    }
    const bool is_broken = smuggled + changed > 0;
    to.write(is_broken ? "broken" : "held");
    end_run(where, nodes, is_broken ? broken : held);
}

} // namespace

int main(int count, char** arguments) {
    if (count != 2) {
        return could_not_run;
    }
    try {
        record to(arguments[1]);
        run(to);
    } catch (const std::exception& error) {
        std::fprintf(stderr, "%s\n", error.what());
        return could_not_run;
    }
}
