#include "eligibility.h"

#include <algorithm>

namespace jujubetide {
namespace {

using server_list = std::vector<const backend_server_settings*>;

template <class Predicate>
server_list narrow_if_any_left(const server_list& servers, Predicate&& keep) {
    if (std::all_of(servers.begin(), servers.end(), keep)) {
        return servers;
    }
    server_list kept;
    std::copy_if(servers.begin(), servers.end(), std::back_inserter(kept), keep);
    return kept.empty() ? servers : kept;
}

} // namespace

std::vector<const backend_server_settings*>
eligible_servers(const route_query& query,
                 std::span<const backend_server_settings* const> candidates,
                 const backend_board& board) {
    server_list usable;
    for (const backend_server_settings* server : candidates) {
        if (server->version == query.version &&
            board.is_usable(server->id, server->host, query.now)) {
            usable.push_back(server);
        }
    }
    usable = narrow_if_any_left(usable, [&query](const backend_server_settings* server) {
        return std::find(query.tried.begin(), query.tried.end(), server->id) == query.tried.end();
    });
    return narrow_if_any_left(usable, [&query](const backend_server_settings* server) {
        return server->failure_domain != query.avoid_domain;
    });
}

} // namespace jujubetide
