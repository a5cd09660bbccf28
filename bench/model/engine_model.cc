// The cache is kept by session: all prompts of a session extend each other, so one length a session
// describes what is held. The beginning shared by a service's prompts is held once and for good.
#include "engine_model.h"

#include <algorithm>

namespace jujubetide::model {

void engine_model::submit(const model_request& request, std::uint32_t generated) {
    work item;
    item.request = request;
    item.generated = generated;
    item.first_piece_given = generated > 0;
    const auto place = std::find_if(waiting_.begin(), waiting_.end(), [&](const work& other) {
        return other.request.priority < request.priority;
    });
    waiting_.insert(place, item);
}

std::uint32_t engine_model::cached_tokens(const model_request& request) const {
    std::uint32_t cached = 0;
    const auto shared = shared_.find(request.service);
    if (shared != shared_.end()) {
        cached = std::min(shared->second, request.prompt_tokens);
    }
    const auto own = sessions_.find(request.session);
    if (own != sessions_.end()) {
        cached = std::max(cached, std::min(own->second->tokens, request.prompt_tokens));
    }
    return cached;
}

void engine_model::cache(const model_request& request, std::uint32_t tokens) {
    shared_[request.service] = request.shared_tokens;
    const auto known = sessions_.find(request.session);
    if (known != sessions_.end()) {
        cached_total_ -= known->second->tokens;
        lru_.erase(known->second);
        sessions_.erase(known);
    }
    lru_.push_front({request.session, tokens});
    sessions_[request.session] = lru_.begin();
    cached_total_ += tokens;
    while (cached_total_ > options_.cache_tokens && lru_.size() > 1) {
        cached_total_ -= lru_.back().tokens;
        sessions_.erase(lru_.back().session);
        lru_.pop_back();
    }
}

void engine_model::start_waiting() {
    while (!waiting_.empty() && running_.size() < options_.max_running) {
        work item = waiting_.front();
        waiting_.pop_front();
        const std::uint32_t whole = item.request.prompt_tokens + item.generated;
        const std::uint32_t cached = cached_tokens(item.request);
        item.prefill_left = whole - cached;
        const std::uint32_t known = item.request.known_tokens;
        item.recomputed = (known > cached ? known - cached : 0) + item.generated;
        running_.push_back(item);
    }
}

step_result engine_model::step() {
    start_waiting();
    step_result result;
    std::uint32_t chunk = options_.chunk_tokens;
    for (work& item : running_) {
        const std::uint32_t part = std::min(chunk, item.prefill_left);
        const bool was_prefilled = item.prefill_left == 0;
        item.prefill_left -= part;
        chunk -= part;
        result.processed_prompt_tokens += part;
        if (item.prefill_left > 0) {
            continue;
        }
        if (!was_prefilled) {
            result.recomputed_prompt_tokens += item.recomputed;
            cache(item.request, item.request.prompt_tokens);
        }
        ++item.generated;
        if (!item.first_piece_given) {
            item.first_piece_given = true;
            result.first_pieces.push_back(item.request);
        }
        if (item.generated >= item.request.output_tokens) {
            cache(item.request, item.request.prompt_tokens + item.generated);
            result.finished.push_back(item.request);
        }
    }
    result.duration =
        options_.step_time +
        options_.step_time_per_request * static_cast<std::int64_t>(running_.size()) +
        micros(static_cast<std::int64_t>(static_cast<double>(result.processed_prompt_tokens) /
                                         options_.prefill_tokens_per_second * 1e6));
    std::erase_if(running_, [](const work& item) {
        return item.prefill_left == 0 && item.generated >= item.request.output_tokens;
    });
    return result;
}

load_report engine_model::report() const {
    load_report load;
    load.running = static_cast<std::uint32_t>(running_.size());
    load.waiting = static_cast<std::uint32_t>(waiting_.size());
    load.max_running = static_cast<std::uint32_t>(options_.max_running);
    std::uint64_t tokens = 0;
    for (const work& item : waiting_) {
        tokens += item.request.prompt_tokens + item.generated - cached_tokens(item.request);
    }
    for (const work& item : running_) {
        tokens += item.prefill_left;
    }
    load.waiting_prompt_tokens = token_count(tokens);
    return load;
}

std::vector<displaced_request> engine_model::displace_all() {
    std::vector<displaced_request> displaced;
    for (const work& item : running_) {
        displaced.push_back({item.request, item.generated, item.first_piece_given});
    }
    for (const work& item : waiting_) {
        displaced.push_back({item.request, item.generated, item.first_piece_given});
    }
    running_.clear();
    waiting_.clear();
    return displaced;
}

} // namespace jujubetide::model
