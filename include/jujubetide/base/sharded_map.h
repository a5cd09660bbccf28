#pragma once

#include <absl/container/flat_hash_map.h>

#include <array>
#include <cstddef>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace jujubetide {

/// A hash map split into shards, each under its own lock. Thread-safe. Functions passed in run
/// under the lock of one shard and must not call the map again.
template <class Key, class Value, std::size_t ShardCount = 16>
class sharded_map {
public:
    /// Copy of the value at `key`.
    [[nodiscard]] std::optional<Value> get(const Key& key) const {
        const shard& part = shard_of(key);
        const std::lock_guard lock(part.mutex);
        const auto found = part.values.find(key);
        if (found == part.values.end()) {
            return std::nullopt;
        }
        return found->second;
    }

    /// Calls `function(Value&)` on the value at `key`, made by default where absent, and returns
    /// what it returns.
    template <class Function>
    auto update(const Key& key, Function&& function) {
        shard& part = shard_of(key);
        const std::lock_guard lock(part.mutex);
        return std::forward<Function>(function)(part.values[key]);
    }

    /// Calls `function(const Value&)` on the value at `key`; returns whether it is present.
    template <class Function>
    bool visit(const Key& key, Function&& function) const {
        const shard& part = shard_of(key);
        const std::lock_guard lock(part.mutex);
        const auto found = part.values.find(key);
        if (found == part.values.end()) {
            return false;
        }
        function(found->second);
        return true;
    }

    /// Stores `value` unless the key is present; returns whether it was stored.
    bool insert(const Key& key, Value value) {
        shard& part = shard_of(key);
        const std::lock_guard lock(part.mutex);
        return part.values.try_emplace(key, std::move(value)).second;
    }

    /// Removes the value at `key` and returns it.
    std::optional<Value> take(const Key& key) {
        shard& part = shard_of(key);
        const std::lock_guard lock(part.mutex);
        const auto found = part.values.find(key);
        if (found == part.values.end()) {
            return std::nullopt;
        }
        std::optional<Value> value(std::move(found->second));
        part.values.erase(found);
        return value;
    }

    /// Calls `function(const Key&, const Value&)` for every entry, one shard at a time.
    template <class Function>
    void for_each(Function&& function) const {
        for (const shard& part : shards_) {
            const std::lock_guard lock(part.mutex);
            for (const auto& [key, value] : part.values) {
                function(key, value);
            }
        }
    }

    /// Removes every entry for which `predicate(const Key&, const Value&)` holds.
    template <class Predicate>
    void erase_if(Predicate&& predicate) {
        for (shard& part : shards_) {
            const std::lock_guard lock(part.mutex);
            absl::erase_if(part.values, [&predicate](const auto& entry) {
                return predicate(entry.first, entry.second);
            });
        }
    }

    [[nodiscard]] std::size_t size() const {
        std::size_t total = 0;
        for (const shard& part : shards_) {
            const std::lock_guard lock(part.mutex);
            total += part.values.size();
        }
        return total;
    }

private:
    struct shard {
        mutable std::mutex mutex;
        absl::flat_hash_map<Key, Value> values;
    };

    shard& shard_of(const Key& key) { return shards_[absl::Hash<Key>{}(key) % ShardCount]; }
    const shard& shard_of(const Key& key) const {
        return shards_[absl::Hash<Key>{}(key) % ShardCount];
    }

    std::array<shard, ShardCount> shards_;
};

} // namespace jujubetide
