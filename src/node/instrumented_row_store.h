#pragma once

#include "node/serving_metrics.h"

#include "jujubetide/base/log.h"
#include "jujubetide/store/row_store.h"

namespace jujubetide {

/// Forwards calls to a store, counts them by kind and outcome, and logs when the store turns out to
/// have been restored.
class instrumented_row_store final : public row_store {
public:
    /// The arguments must outlive this object.
    instrumented_row_store(row_store& store, serving_metrics& metrics, log_sink& log)
        : store_(store), metrics_(metrics), log_(log) {}

protected:
    [[nodiscard]] std::optional<store_era> do_era() const override { return store_.era(); }
    void do_read(const std::string& table, const std::string& from, batch_handler handler) override;
    void do_changes(const std::string& table, row_version after, millis wait,
                    batch_handler handler) override;
    void do_commit(const row_transaction& transaction, commit_handler handler) override;

private:
    /// The same handler, called after the outcome was counted.
    template <class Result>
    std::function<void(Result)> instrumented(const char* kind, const std::string& table,
                                             std::function<void(Result)> handler);
    void log_restore();

    row_store& store_;
    serving_metrics& metrics_;
    log_sink& log_;
    /// As of the last answer.
    std::optional<store_era> known_era_;
};

} // namespace jujubetide
