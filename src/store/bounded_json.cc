// The text is read twice: the library's parser with a callback, which could check the limits while
// it builds the document, takes quadratic time for arrays of objects.
#include "jujubetide/store/bounded_json.h"

#include <absl/status/status.h>
#include <absl/strings/str_cat.h>

namespace jujubetide {
namespace {

using json = nlohmann::json;

/// Counts values and levels; ends the parsing beyond the limits.
class json_limits final : public nlohmann::json_sax<json> {
public:
    [[nodiscard]] bool is_too_deep() const { return depth_ > max_json_depth; }
    [[nodiscard]] bool has_too_many_values() const { return values_ > max_json_values; }

    bool null() override { return count(); }
    bool boolean(bool) override { return count(); }
    bool number_integer(number_integer_t) override { return count(); }
    bool number_unsigned(number_unsigned_t) override { return count(); }
    bool number_float(number_float_t, const string_t&) override { return count(); }
    bool string(string_t&) override { return count(); }
    bool binary(binary_t&) override { return count(); }
    bool key(string_t&) override { return true; }
    bool start_object(std::size_t) override { return descend(); }
    bool end_object() override { return ascend(); }
    bool start_array(std::size_t) override { return descend(); }
    bool end_array() override { return ascend(); }
    bool parse_error(std::size_t, const std::string&, const json::exception&) override {
        return false; // The second reading tells it.
    }

private:
    bool count() {
        ++values_;
        return !has_too_many_values();
    }
    bool descend() {
        ++depth_;
        return !is_too_deep() && count();
    }
    bool ascend() {
        --depth_;
        return true;
    }

    std::size_t values_ = 0;
    int depth_ = 0;
};

} // namespace

absl::StatusOr<json> parse_bounded_json(std::string_view text) {
    json_limits limits;
    (void)json::sax_parse(text.begin(), text.end(), &limits);
    if (limits.is_too_deep()) {
        return absl::InvalidArgumentError(
            absl::StrCat("nested more than ", max_json_depth, " levels deep"));
    }
    if (limits.has_too_many_values()) {
        return absl::InvalidArgumentError(absl::StrCat("more than ", max_json_values, " values"));
    }
    try {
        return json::parse(text.begin(), text.end());
    } catch (const json::exception& error) {
        return absl::InvalidArgumentError(absl::StrCat("not JSON: ", error.what()));
    }
}

} // namespace jujubetide
