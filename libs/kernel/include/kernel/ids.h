#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace camphorgrade {

/**
 * A value of type `Rep` that cannot be mixed up with another kind of identifier.
 * Immutable but for assignment; as thread safe as `Rep`.
 */
template <typename Tag, typename Rep>
class strong_id {
public:
    strong_id() = default;
    explicit strong_id(Rep value) : value_(std::move(value)) {}

    const Rep& value() const noexcept { return value_; }

    friend bool operator==(const strong_id&, const strong_id&) = default;
    friend auto operator<=>(const strong_id& a, const strong_id& b) {
        return a.value_ <=> b.value_;
    }

private:
    Rep value_{};
};

/** Name of one process of the system, unique in the fleet; from its settings. */
using node_id = strong_id<struct node_id_tag, std::string>;

/** Counts the lives of a node: a restarted process has a larger one. Zero means unknown. */
using incarnation = strong_id<struct incarnation_tag, std::uint64_t>;

/** Names a request of one caller within one gateway incarnation. */
using request_id = strong_id<struct request_id_tag, std::uint64_t>;

/** Names one HTTP call from an agent to its backend server. */
using call_id = strong_id<struct call_id_tag, std::uint64_t>;

} // namespace camphorgrade

template <typename Tag, typename Rep>
struct std::hash<camphorgrade::strong_id<Tag, Rep>> {
    std::size_t operator()(const camphorgrade::strong_id<Tag, Rep>& id) const noexcept {
        return std::hash<Rep>{}(id.value());
    }
};
