#pragma once

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <string>

namespace jujubetide {

/// The platform's object store. Thread-safe; calls block. Errors as for `table`; NotFound from get.
class object_store {
public:
    virtual ~object_store() = default;

    [[nodiscard]] absl::Status put(const std::string& name, const std::string& body) {
        return do_put(name, body);
    }
    [[nodiscard]] absl::StatusOr<std::string> get(const std::string& name) { return do_get(name); }

protected:
    object_store() = default;
    object_store(const object_store&) = default;
    object_store& operator=(const object_store&) = default;
    virtual absl::Status do_put(const std::string& name, const std::string& body) = 0;
    virtual absl::StatusOr<std::string> do_get(const std::string& name) = 0;
};

} // namespace jujubetide
