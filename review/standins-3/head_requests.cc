// A caller that sends HEAD and then GET on one connection: what follows the head of the first
// answer has to be the second answer.
#include "nodes.h"
#include "servers.h"

using namespace standin;
using std::chrono::milliseconds;

namespace {

constexpr int request_pairs = 5;

/// Reads up to the end of a head, and returns it; `buffer` keeps what follows.
std::string read_head(const socket_handle& from, std::string& buffer,
                      std::chrono::steady_clock::time_point deadline) {
    for (;;) {
        const std::size_t end = buffer.find("\r\n\r\n");
        if (end != std::string::npos) {
            const std::string head = buffer.substr(0, end + 4);
            buffer.erase(0, end + 4);
            return head;
        }
        const auto left =
            std::chrono::duration_cast<milliseconds>(deadline - std::chrono::steady_clock::now());
        pollfd waiting{from.fd(), POLLIN, 0};
        char bytes[4096];
        if (left <= milliseconds(0) || ::poll(&waiting, 1, static_cast<int>(left.count())) != 1) {
            return "";
        }
        const ssize_t count = ::recv(from.fd(), bytes, sizeof bytes, 0);
        if (count <= 0) {
            return "";
        }
        buffer.append(bytes, static_cast<std::size_t>(count));
    }
}

std::string first_line(const std::string& head) {
    return head.empty() ? "nothing" : head.substr(0, head.find("\r\n"));
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
    const std::string method = has_trouble() ? "HEAD" : "GET";
    int stray = 0;
    int answered = 0;
    for (int i = 0; i < request_pairs; ++i) {
        const socket_handle line = connect_to(front, 1'000);
        const std::string number = std::to_string(i);
        const auto deadline = std::chrono::steady_clock::now() + milliseconds(4'000);
        std::string buffer;
        line.send_all(caller_request(method, "/hugo494/", "first-" + number, "key-one"));
        const std::string head = read_head(line, buffer, deadline);
        to.write("sent " + method + ", got " + first_line(head));
        if (method == "GET") {
            const std::string body = "answer-first-" + number;
            while (buffer.size() < body.size()) {
                char bytes[4096];
                const ssize_t count = ::recv(line.fd(), bytes, sizeof bytes, 0);
                if (count <= 0) {
                    break;
                }
                buffer.append(bytes, static_cast<std::size_t>(count));
            }
            buffer.erase(0, body.size());
        }
        line.send_all(caller_request("GET", "/hugo494/", "second-" + number, "key-one"));
        const std::string next = read_head(line, buffer, deadline);
        answered += next.empty() ? 0 : 1;
        if (!next.empty() && next.compare(0, 9, "HTTP/1.1 ") != 0) {
            ++stray;
            to.write("BROKEN: bytes that are no answer: " + next.substr(0, next.find("HTTP/1.1 ")));
        } else {
            to.write("sent GET, got " + first_line(next));
        }
    }
    if (answered == 0) {
        to.write("no request was answered");
        end_run(where, nodes, could_not_run);
    }
    to.write(stray > 0 ? "broken" : "held");
    end_run(where, nodes, stray > 0 ? broken : held);
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
