#pragma once

#include "jujubetide/blackboard/blackboard.h"
#include "jujubetide/membership/fact_identity.h"

#include <absl/container/flat_hash_map.h>

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace jujubetide {

/// How a fact that was told relates to the one that is known.
enum class fact_relation : std::uint8_t {
    /// Both are the same.
    equal,
    /// The known fact has taken what was new and is now the one that was told.
    taken,
    /// The known fact has taken what was new and still holds more than was told.
    joined,
    /// The known fact holds more; the teller should hear it.
    known_newer,
    /// The told fact needs its body.
    body_wanted,
    /// The fact no longer matters.
    ignored,
};

/// The flooded facts of one node, joined in any order to the same state and written through to the
/// blackboard. Hashes over buckets of facts find the differences between two nodes; dead members
/// and expired hosts are outside of the hashes, so that nodes may forget them at different times.
/// Not thread-safe; the blackboard may be read meanwhile.
class fact_store {
public:
    static constexpr std::size_t bucket_count = 64;
    using bucket_hashes = std::array<std::uint32_t, bucket_count>;

    explicit fact_store(blackboard& board) : board_(board) {}

    fact_relation join(const member_identity& told);
    fact_relation join(const member& told);
    /// `now` decides whether the mark has expired.
    fact_relation join(const leaving_host& told, wall_time now);
    fact_relation join(const move_identity& told) const;
    fact_relation join(const version_move& told);

    /// Reads a move's newest record from the board, where this node may have changed it.
    void refresh_move(const service_id& service);
    void forget(const node_id& node);
    void drop_expired_hosts(wall_time now);

    [[nodiscard]] const member* find_member(const node_id& node) const;
    [[nodiscard]] const leaving_host* find_host(const std::string& host) const;
    [[nodiscard]] std::optional<version_move> find_move(const std::string& service) const;
    /// Members by node id.
    [[nodiscard]] const std::map<node_id, member>& members() const { return members_; }
    /// Grows whenever a member appears, dies, returns, leaves or is forgotten.
    [[nodiscard]] std::uint64_t members_version() const { return members_version_; }

    [[nodiscard]] const bucket_hashes& buckets() const { return buckets_; }
    /// Hash of all buckets.
    [[nodiscard]] std::uint64_t root_hash() const;
    [[nodiscard]] std::vector<fact_key> keys_in(std::size_t bucket) const;
    [[nodiscard]] static std::size_t bucket_of(const fact_key& key);
    [[nodiscard]] std::size_t size() const { return members_.size() + hosts_.size() + moves_; }

private:
    void set_hash(const fact_key& key, std::uint64_t hash);
    fact_relation store(const member& joined, const member_identity& told);

    blackboard& board_;
    std::map<node_id, member> members_;
    absl::flat_hash_map<std::string, leaving_host> hosts_;
    std::size_t moves_ = 0;
    absl::flat_hash_map<fact_key, std::uint64_t> hashes_;
    bucket_hashes buckets_{};
    std::uint64_t members_version_ = 0;
};

} // namespace jujubetide
