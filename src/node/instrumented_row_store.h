#pragma once

#include "node/serving_metrics.h"

#include "jujubetide/store/row_store.h"

namespace jujubetide {

/// Forwards calls to a store and counts them by kind and outcome.
class instrumented_row_store final : public row_store {
public:
    /// The arguments must outlive this object.
    instrumented_row_store(row_store& store, serving_metrics& metrics)
        : store_(store), metrics_(metrics) {}

protected:
    void do_read(const std::string& table, const std::string& from, batch_handler handler) override;
    void do_changes(const std::string& table, row_version after, millis wait,
                    batch_handler handler) override;
    void do_commit(const row_transaction& transaction, commit_handler handler) override;

private:
    row_store& store_;
    serving_metrics& metrics_;
};

} // namespace jujubetide
