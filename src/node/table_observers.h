#pragma once

#include "node/serving_state.h"

#include "jujubetide/node/row_decoder.h"
#include "jujubetide/store/table_follower.h"

#include <functional>
#include <optional>

namespace jujubetide {

/// Applies the operators' configuration; never replaces a newer one by an older one.
class config_observer final : public table_observer {
public:
    /// `on_change` is called after a configuration was applied. The arguments by reference must
    /// outlive the observer.
    config_observer(serving_state& state, const row_decoder& decoder, platform_table_names tables,
                    std::function<void()> on_change);

    /// The row of the configuration in force, whatever the store shows since; empty before the
    /// first.
    [[nodiscard]] const std::optional<stored_row>& row_in_force() const { return row_in_force_; }
    /// Applies the row of a configuration if it is newer than the one in force.
    void apply(const stored_row& row);

protected:
    void do_snapshot(const std::vector<stored_row>& rows, store_position at) override;
    void do_changes(const std::vector<stored_row>& rows) override;
    void do_store_unavailable(const absl::Status& status) override;
    void do_store_recovered() override;

private:
    void apply_move_order(const stored_row& row);
    /// The row's key alone orders it, whatever the row holds.
    void apply_evacuation(const stored_row& row);
    void end_evacuation(const failure_domain_id& domain);

    serving_state& state_;
    const row_decoder& decoder_;
    platform_table_names tables_;
    std::function<void()> on_change_;
    std::optional<stored_row> row_in_force_;
};

/// Keeps the list of backend servers in line with their registrations.
class registration_observer final : public table_observer {
public:
    registration_observer(serving_state& state, const row_decoder& decoder,
                          platform_table_names tables);

    /// Discards servers that vanished and did not register again in time, and ends the bounds of
    /// servers that are warm by now; to be called several times a second.
    void expire();

protected:
    void do_snapshot(const std::vector<stored_row>& rows, store_position at) override;
    void do_changes(const std::vector<stored_row>& rows) override;
    void do_store_unavailable(const absl::Status& status) override;
    void do_store_recovered() override;

private:
    [[nodiscard]] std::optional<backend_server> decode(const stored_row& row);
    void put(const backend_server& server);
    /// Follows what the registration says of the time that the server stays cold.
    void update_cold(const backend_server& server);
    /// The server's row is gone: removed, or lost by a restore of the store.
    void remove(const backend_server_id& id, bool is_lost);

    serving_state& state_;
    const row_decoder& decoder_;
    platform_table_names tables_;
    /// The era of the last snapshot, if there was one.
    std::optional<store_era> era_;
};

} // namespace jujubetide
