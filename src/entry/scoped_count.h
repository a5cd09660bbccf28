#pragma once

#include <atomic>

namespace jujubetide {

/// Counts one up for its life.
class scoped_count {
public:
    explicit scoped_count(std::atomic<int>& count) : count_(count) { ++count_; }
    ~scoped_count() { --count_; }
    scoped_count(const scoped_count&) = delete;
    scoped_count& operator=(const scoped_count&) = delete;

private:
    std::atomic<int>& count_;
};

} // namespace jujubetide
