// The record of a run: what was sent, answered and run, with the seconds since its start.
#pragma once

#include <chrono>
#include <cstdio>
#include <mutex>
#include <string>

namespace standin {

class record {
public:
    explicit record(const std::string& path) : file_(std::fopen(path.c_str(), "w")) {}

    void write(const std::string& line) {
        const std::lock_guard lock(mutex_);
        if (file_ != nullptr) {
            std::fprintf(file_, "%8.3f s  %s\n", seconds(), line.c_str());
            std::fflush(file_);
        }
    }
    double seconds() const {
        return std::chrono::duration<double>(std::chrono::steady_clock::now() - start_).count();
    }

private:
    std::mutex mutex_;
    std::FILE* file_;
    std::chrono::steady_clock::time_point start_ = std::chrono::steady_clock::now();
};

} // namespace standin
