#pragma once

#include "node/serving_metrics.h"

#include "jujubetide/store/row_store.h"

namespace jujubetide {

/// Counts the calls to a store by kind and outcome, and passes them on.
class instrumented_row_store final : public row_store {
public:
    /// What is passed in must outlive the store.
    instrumented_row_store(row_store& to, serving_metrics& metrics) : to_(to), metrics_(metrics) {}

protected:
    void do_read(const std::string& table, const std::string& from, batch_handler handler) override;
    void do_changes(const std::string& table, row_version after, millis wait,
                    batch_handler handler) override;
    void do_commit(const row_transaction& transaction, commit_handler handler) override;

private:
    row_store& to_;
    serving_metrics& metrics_;
};

} // namespace jujubetide
