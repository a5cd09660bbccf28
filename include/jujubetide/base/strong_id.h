#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace jujubetide {

/// A textual identifier that cannot be mixed up with identifiers of another kind.
/// An empty id means "none".
template <class Tag>
class strong_id {
public:
    strong_id() = default;
    explicit strong_id(std::string text) : text_(std::move(text)) {}

    [[nodiscard]] const std::string& str() const { return text_; }
    [[nodiscard]] bool empty() const { return text_.empty(); }

    friend auto operator<=>(const strong_id&, const strong_id&) = default;

    template <class HashState>
    friend HashState AbslHashValue(HashState state, const strong_id& id) { // NOLINT
        return HashState::combine(std::move(state), id.text_);
    }

private:
    std::string text_;
};

template <class Tag>
std::ostream& operator<<(std::ostream& out, const strong_id<Tag>& id) {
    return out << id.str();
}

/// A number that cannot be mixed up with numbers of another kind or unit.
template <class Tag, class Rep = std::uint64_t>
class strong_number {
public:
    constexpr strong_number() = default;
    constexpr explicit strong_number(Rep value) : value_(value) {}

    [[nodiscard]] constexpr Rep value() const { return value_; }

    friend constexpr auto operator<=>(strong_number, strong_number) = default;
    friend constexpr strong_number operator+(strong_number a, strong_number b) {
        return strong_number(a.value_ + b.value_);
    }
    friend constexpr strong_number operator-(strong_number a, strong_number b) {
        return strong_number(a.value_ - b.value_);
    }
    constexpr strong_number& operator+=(strong_number other) {
        value_ += other.value_;
        return *this;
    }
    constexpr strong_number& operator-=(strong_number other) {
        value_ -= other.value_;
        return *this;
    }
    [[nodiscard]] constexpr strong_number next() const { return strong_number(value_ + 1); }

    template <class HashState>
    friend HashState AbslHashValue(HashState state, strong_number number) { // NOLINT
        return HashState::combine(std::move(state), number.value_);
    }

private:
    Rep value_{};
};

template <class Tag, class Rep>
std::ostream& operator<<(std::ostream& out, strong_number<Tag, Rep> number) {
    return out << number.value();
}

} // namespace jujubetide

template <class Tag>
struct std::hash<jujubetide::strong_id<Tag>> {
    std::size_t operator()(const jujubetide::strong_id<Tag>& id) const noexcept {
        return std::hash<std::string>{}(id.str());
    }
};

template <class Tag, class Rep>
struct std::hash<jujubetide::strong_number<Tag, Rep>> {
    std::size_t operator()(jujubetide::strong_number<Tag, Rep> number) const noexcept {
        return std::hash<Rep>{}(number.value());
    }
};
