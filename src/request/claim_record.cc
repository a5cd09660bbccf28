#include "jujubetide/request/claim_record.h"

#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

namespace jujubetide {

std::string encode(const claim_record& record) {
    const nlohmann::json row{{"state", static_cast<int>(record.state)},
                             {"claimant", record.claimant.str()},
                             {"fingerprint", record.fingerprint},
                             {"expected_by_ms", record.expected_by.time_since_epoch().count()},
                             {"status", record.answer.status},
                             {"content_type", absl::Base64Escape(record.answer.content_type)},
                             {"body", absl::Base64Escape(record.answer.body)}};
    return row.dump();
}

absl::StatusOr<claim_record> decode_claim_record(const std::string& text) {
    const nlohmann::json row = nlohmann::json::parse(text, nullptr, false);
    claim_record record;
    try {
        const int state = row.at("state").get<int>();
        if (state < 0 || state > static_cast<int>(claim_state::released)) {
            return absl::DataLossError("unknown state of a claim record");
        }
        record.state = static_cast<claim_state>(state);
        record.claimant = request_id(row.at("claimant").get<std::string>());
        record.fingerprint = row.at("fingerprint").get<std::uint64_t>();
        record.expected_by = wall_time(millis(row.at("expected_by_ms").get<std::int64_t>()));
        record.answer.status = row.at("status").get<int>();
        if (!absl::Base64Unescape(row.at("content_type").get<std::string>(),
                                  &record.answer.content_type) ||
            !absl::Base64Unescape(row.at("body").get<std::string>(), &record.answer.body)) {
            return absl::DataLossError("answer of a claim record is not base64");
        }
    } catch (const nlohmann::json::exception& error) {
        return absl::DataLossError(absl::StrCat("not a claim record: ", error.what()));
    }
    return record;
}

std::string claim_row_key(const customer_id& customer, const service_id& service,
                          const idempotency_key& key) {
    return absl::StrCat("idempotency/", absl::BytesToHexString(customer.str()), "/",
                        absl::BytesToHexString(service.str()), "/",
                        absl::BytesToHexString(key.str()));
}

} // namespace jujubetide
