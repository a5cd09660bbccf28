// A caller that sends many short requests on one connection without waiting for each answer, or
// without reading the answers. The platform ends a process that exceeds its memory and starts it
// again.
#include "memory_guard.h"
#include "servers.h"

using namespace standin;
using std::chrono::milliseconds;

namespace {

constexpr int node_count = 2;
constexpr int rounds = 3;
/// Requests of one burst, on a route that never existed.
constexpr int requests_in_burst = 4'800;
/// What a caller that does not read sends at most, and for how long.
constexpr std::size_t unread_bytes = std::size_t{40} << 20U;
constexpr milliseconds unread_time{8'000};

/// Sends one request for the application and the short ones behind it; reads all that is answered.
/// Returns the number of answers.
int send_burst(const address& front, int number, bool waits, record& to) {
    const socket_handle line = connect_to(front, 1'000);
    if (!line.is_open()) {
        return 0;
    }
    const std::string first =
        caller_request("GET", "/hugo494/", "burst-" + std::to_string(number), "key-one");
    const std::string next = "GET / HTTP/1.1\r\nHost: f\r\n\r\n";
    message_reader reader(line);
    const auto deadline = std::chrono::steady_clock::now() + milliseconds(15'000);
    int answers = 0;
    if (waits) {
        // One at a time: the next request follows the answer.
        for (int i = 0; i <= requests_in_burst; ++i) {
            if (!line.send_all(i == 0 ? first : next) || !reader.read(deadline)) {
                break;
            }
            ++answers;
        }
    } else {
        std::string bytes = first;
        for (int i = 0; i < requests_in_burst; ++i) {
            bytes += next;
        }
        std::thread sender([&] { line.send_all(bytes); });
        while (answers <= requests_in_burst && reader.read(deadline)) {
            ++answers;
        }
        ::shutdown(line.fd(), SHUT_RDWR);
        sender.join();
    }
    to.write("burst " + std::to_string(number) + " to " + front.str() + ": sent " +
             std::to_string(requests_in_burst + 1) + " requests, " +
             std::to_string(first.size() + next.size() * requests_in_burst) + " bytes, answers " +
             std::to_string(answers));
    return answers;
}

/// Sends requests until the connection ends, or the limits above are reached; answers are read only
/// if `reads`.
void send_unread(const address& front, int number, bool reads, record& to) {
    const socket_handle line = connect_to(front, 1'000, 65'536);
    if (!line.is_open()) {
        return;
    }
    std::string piece;
    while (piece.size() < 16'384) {
        piece += "GET /lohu930/ HTTP/1.1\r\nHost: ficu95.example\r\n\r\n";
    }
    std::atomic<std::size_t> read{0};
    std::thread reader([&] {
        char bytes[65'536];
        ssize_t count = 1;
        while (reads && count > 0) {
            count = ::recv(line.fd(), bytes, sizeof bytes, 0);
            read += count > 0 ? static_cast<std::size_t>(count) : 0;
        }
    });
    constexpr timeval patience{0, 200'000};
    setsockopt(line.fd(), SOL_SOCKET, SO_SNDTIMEO, &patience, sizeof patience);
    const auto end = std::chrono::steady_clock::now() + unread_time;
    std::size_t sent = 0;
    std::size_t of_piece = 0;
    while (sent < unread_bytes && std::chrono::steady_clock::now() < end) {
        const ssize_t count =
            ::send(line.fd(), piece.data() + of_piece, piece.size() - of_piece, MSG_NOSIGNAL);
        if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
            continue;
        }
        if (count <= 0) {
            break;
        }
        sent += static_cast<std::size_t>(count);
        of_piece = (of_piece + static_cast<std::size_t>(count)) % piece.size();
    }
    ::shutdown(line.fd(), SHUT_RDWR);
    reader.join();
    to.write("caller " + std::to_string(number) + " of " + front.str() + ": sent " +
             std::to_string(sent) + " bytes of requests of 48 bytes, read " + std::to_string(read) +
             " bytes");
}

[[noreturn]] void run(record& to, bool reads_all) {
    place where;
    row_store store(where.store());
    plain_server server(where.at(101, 8422), "i-7f3a91c2", milliseconds(30), to);
    writers written(store, {&server});
    node_list nodes;
    const char* const zones[] = {"bratislava-port", "komarno"};
    for (int i = 0; i < node_count; ++i) {
        nodes.push_back(std::make_unique<node>(where, i + 1, zones[i], false, to));
        nodes.back()->start();
    }
    const auto all_ready = [&] {
        return std::all_of(nodes.begin(), nodes.end(),
                           [](const auto& one) { return one->is_ready(); });
    };
    const auto serves = [&](const node& one, int number) {
        const auto answer =
            call(one.front(),
                 caller_request("GET", "/hugo494/", "sound-" + std::to_string(number), "key-two"),
                 milliseconds(2'500));
        return answer && answer->status() == 200;
    };
    if (!wait_until(all_ready, milliseconds(10'000)) ||
        !wait_until([&] { return serves(*nodes[0], 0) && serves(*nodes[1], 0); },
                    milliseconds(10'000))) {
        to.write("the nodes do not serve");
        end_run(where, nodes, could_not_run);
    }
    std::vector<std::unique_ptr<memory_guard>> guards;
    for (const auto& one : nodes) {
        guards.push_back(std::make_unique<memory_guard>(*one, to));
    }
    for (int round = 1; round <= rounds; ++round) {
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            const int number = round * 10 + static_cast<int>(i);
            if (reads_all) {
                send_burst(nodes[i]->front(), number, !has_trouble(), to);
            } else {
                send_unread(nodes[i]->front(), number, !has_trouble(), to);
            }
        }
        std::this_thread::sleep_for(milliseconds(3'000));
        wait_until(all_ready, milliseconds(8'000));
    }
    int often = 0;
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        to.write(nodes[i]->name() + ": most memory " + std::to_string(guards[i]->most_kb() / 1024) +
                 " MB, ended " + std::to_string(guards[i]->ends()) + " times");
        often += guards[i]->ends() >= 3 ? 1 : 0;
    }
    // The rule: on two machines or more, processes end by themselves three times.
    to.write(often >= 2 ? "broken" : "held");
    guards.clear();
    end_run(where, nodes, often >= 2 ? broken : held);
}

} // namespace

int main(int count, char** arguments) {
    const std::string mode = count == 3 ? arguments[2] : "";
    if (mode != "burst" && mode != "unread") {
        return could_not_run;
    }
    try {
        record to(arguments[1]);
        run(to, mode == "burst");
    } catch (const std::exception& error) {
        std::fprintf(stderr, "%s\n", error.what());
        return could_not_run;
    }
}
