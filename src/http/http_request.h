#pragma once

#include "jujubetide/http/http_client.h"

#include <httplib.h>

#include <map>
#include <string>

namespace jujubetide {

/// The library's form of a request; a body without a stated type is JSON.
httplib::Request make_request(const std::string& method, const std::string& target,
                              std::string body, const std::map<std::string, std::string>& headers);

/// Sets the limits of time and switches off the delay of small packets, on the library's client of
/// either kind.
template <class Client>
void set_options(Client& client, const http_timeouts& timeouts) {
    client.set_tcp_nodelay(true);
    client.set_connection_timeout(timeouts.connect);
    client.set_read_timeout(timeouts.read);
    client.set_write_timeout(timeouts.write);
}

} // namespace jujubetide
