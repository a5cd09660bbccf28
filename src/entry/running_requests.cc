#include "entry/running_requests.h"

namespace jujubetide {

bool running_requests::start(const std::shared_ptr<running_request>& request) {
    if (!requests_.insert(request->record().request, request)) {
        return false;
    }
    request->start();
    return true;
}

std::shared_ptr<running_request> running_requests::find(const request_id& id) const {
    return requests_.get(id).value_or(nullptr);
}

void running_requests::remove(const request_id& id) {
    // Destroyed here, outside of the shard's lock: that waits for the request's thread.
    const auto removed = requests_.take(id);
}

void running_requests::sweep(time_point now) {
    for (const auto& request : all()) {
        if (now - request->last_read() > kept_after_use) {
            remove(request->record().request);
        }
    }
}

std::vector<std::shared_ptr<running_request>> running_requests::all() const {
    std::vector<std::shared_ptr<running_request>> list;
    requests_.for_each(
        [&list](const request_id& /*id*/, const auto& request) { list.push_back(request); });
    return list;
}

std::size_t running_requests::running_count() const {
    std::size_t count = 0;
    for (const auto& request : all()) {
        count += request->answer().is_closed() ? 0 : 1;
    }
    return count;
}

} // namespace jujubetide
